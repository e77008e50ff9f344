/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.gaugehollow.net.HttpReply;
import org.gaugehollow.standin.PlatformSwitches;
import org.gaugehollow.standin.StartRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against overloaded workers during ownership changes, with fencing on and off.
 */
class OwnershipTest
{
    private static final int CALLER_COUNT = 40;
    private TestCell cell;

    @AfterEach
    void stop()
    {
        cell.close();
    }

    private BackgroundLoad startUnderLoad(boolean fencing) throws InterruptedException
    {
        cell = TestCell.start(new CellOptions(List.of("bole"), 3, 3, 4, fencing));
        BackgroundLoad load = new BackgroundLoad(cell, cell.boxesOf("bole"), CALLER_COUNT, "lookup", 150);
        TestCell.await("load runs", () -> load.answeredCount() > 100);
        return load;
    }

    private void assertNoWorkerOverloaded(BackgroundLoad load) throws InterruptedException
    {
        int before = load.answeredCount();
        TestCell.await("load continues", () -> load.answeredCount() > before + 100);
        load.stop();
        assertThat(cell.countOverloads()).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void workersAreNotOverloadedWhenAnOwnerIsKilled(boolean fencing) throws Exception
    {
        BackgroundLoad load = startUnderLoad(fencing);
        cell.boxes.get("bole-1").process.kill();
        TestBox other = cell.boxes.get("bole-2");
        TestCell.await("its workers have a new owner", () -> other.status().path("boxes").size() == 2);
        assertNoWorkerOverloaded(load);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void workersAreNotOverloadedWhenAnOwnerIsFrozenPastItsLease(boolean fencing) throws Exception
    {
        BackgroundLoad load = startUnderLoad(fencing);
        TestBox frozen = cell.boxes.get("bole-1");
        frozen.process.freeze();
        TestBox other = cell.boxes.get("bole-2");
        TestCell.await("the box is removed from the map", () -> other.status().path("boxes").size() == 2);
        frozen.process.thaw();
        TestCell.await("the box is back in the map", () -> other.status().path("boxes").size() == 3);
        assertNoWorkerOverloaded(load);
    }

    @Test
    void workersAreNotOverloadedWhenABoxJoinsAFullHall() throws Exception
    {
        BackgroundLoad load = startUnderLoad(true);
        TestBox joining = cell.startBox("bole-4", "bole");
        TestCell.await("joining box owns key slots", () -> joining.status().path("keySlots").asInt() >= 16);
        assertNoWorkerOverloaded(load);
    }

    @Test
    void ownersKeepTheirAssignmentsDuringAStoreOutage() throws Exception
    {
        BackgroundLoad load = startUnderLoad(true);
        long epoch = cell.boxes.get("bole-1").status().path("mapEpoch").asLong();
        cell.setPlatformSwitches(new PlatformSwitches(true, 0, 0, true));
        for (TestBox box : cell.boxesOf("bole"))
        {
            TestCell.await("rights are frozen", () -> "frozen".equals(box.status().path("rights").asText()));
        }
        int before = load.answeredCount();
        TestCell.await("load continues during the outage", () -> load.answeredCount() > before + 200);
        assertThat(cell.boxes.get("bole-1").status().path("mapEpoch").asLong()).isEqualTo(epoch);
        cell.setPlatformSwitches(PlatformSwitches.NORMAL);
        for (TestBox box : cell.boxesOf("bole"))
        {
            TestCell.await("rights are valid", () -> "valid".equals(box.status().path("rights").asText()));
        }
        assertNoWorkerOverloaded(load);
    }

    @Test
    void isolatedBoxStopsPlacingBeforeAnotherTakesOver() throws Exception
    {
        BackgroundLoad load = startUnderLoad(true);
        TestBox isolated = cell.boxes.get("bole-1");
        List<TestBox> others = List.of(cell.boxes.get("bole-2"), cell.boxes.get("bole-3"));
        cell.disconnectFromPlatform(List.of(isolated));
        cell.disconnect(List.of(isolated), others);
        TestCell.await("rights of the isolated box end",
                () -> "none".equals(isolated.status().path("rights").asText()));
        TestCell.await("the box is removed from the map",
                () -> others.get(0).status().path("boxes").size() == 2);
        HttpReply rejected = cell.send(isolated, "lookup", null, "{\"echo\":\"alone\"}", 500);
        assertThat(TestCell.outcome(rejected)).isEqualTo("not-run");
        assertThat(cell.starts().stream().map(StartRecord::body).anyMatch(b -> b.contains("alone")))
                .isFalse();
        cell.reconnectAll();
        TestCell.await("the box is back in the map", () -> others.get(0).status().path("boxes").size() == 3);
        assertNoWorkerOverloaded(load);
    }

    @Test
    void timedOutRequestsHoldTheirCapacityUntilTheWorkerFinishes() throws Exception
    {
        cell = TestCell.start(new CellOptions(List.of("bole"), 2, 2, 4, true));
        TestBox box = cell.boxes.get("bole-1");
        List<Callable<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < 120; i++)
        {
            calls.add(() -> cell.send(box, "lookup", null, "{\"millis\":700,\"echo\":\"late\"}", 150));
        }
        for (HttpReply reply : EndToEndTest.callAll(calls, 30))
        {
            assertThat(TestCell.outcome(reply)).isAnyOf("unknown", "not-run");
        }
        assertThat(cell.countOverloads()).isEqualTo(0);
        TestCell.await("the capacity is free again",
                () -> box.status().path("free").path("slots").asInt() == 4);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newOwnerCountsRunsStartedByTheKilledOwner(boolean fencing) throws Exception
    {
        cell = TestCell.start(new CellOptions(List.of("bole"), 3, 3, 4, fencing));
        BackgroundLoad load = new BackgroundLoad(cell,
                List.of(cell.boxes.get("bole-2"), cell.boxes.get("bole-3")), 40, "lookup", 6_000);
        TestCell.await("all slots are taken", () -> cell.starts().size() >= 12);
        cell.boxes.get("bole-1").process.kill();
        TestBox other = cell.boxes.get("bole-2");
        TestCell.await("its workers have a new owner", () -> other.status().path("boxes").size() == 2);
        TestCell.await("later requests ran", () -> cell.starts().size() >= 24);
        load.stop();
        assertThat(cell.countOverloads()).isEqualTo(0);
    }
}
