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
 * No worker is ever given more than it holds, across every change of owner, with fencing on and
 * off.
 */
class OwnershipTest
{
    private static final int CALLERS = 40;
    private TestCell cell;

    @AfterEach
    void stop()
    {
        cell.close();
    }

    private BackgroundLoad startUnderLoad(boolean fencing) throws InterruptedException
    {
        cell = TestCell.started(new CellOptions(List.of("bole"), 3, 3, 4, fencing));
        BackgroundLoad load = new BackgroundLoad(cell, cell.boxesOf("bole"), CALLERS, "lookup", 150);
        TestCell.await("the hall is full", () -> load.answered() > 100);
        return load;
    }

    private void assertNothingOverloaded(BackgroundLoad load) throws InterruptedException
    {
        int before = load.answered();
        TestCell.await("load goes on", () -> load.answered() > before + 100);
        load.stop();
        assertThat(cell.overloads()).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anOwnerIsKilled(boolean fencing) throws Exception
    {
        BackgroundLoad load = startUnderLoad(fencing);
        cell.boxes.get("bole-1").process.kill();
        TestBox other = cell.boxes.get("bole-2");
        TestCell.await("its workers are taken over", () -> other.status().path("boxes").size() == 2);
        assertNothingOverloaded(load);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anOwnerIsFrozenPastItsLeaseAndWakes(boolean fencing) throws Exception
    {
        BackgroundLoad load = startUnderLoad(fencing);
        TestBox frozen = cell.boxes.get("bole-1");
        frozen.process.freeze();
        TestBox other = cell.boxes.get("bole-2");
        TestCell.await("it is taken out", () -> other.status().path("boxes").size() == 2);
        frozen.process.thaw();
        TestCell.await("it is back", () -> other.status().path("boxes").size() == 3);
        assertNothingOverloaded(load);
    }

    @Test
    void aBoxJoinsAndTakesItsShareWhileAllIsFull() throws Exception
    {
        BackgroundLoad load = startUnderLoad(true);
        TestBox fourth = cell.startBox("bole-4", "bole");
        TestCell.await("it owns key slots", () -> fourth.status().path("keySlots").asInt() >= 16);
        assertNothingOverloaded(load);
    }

    @Test
    void inAnOutageOfTheStoreEveryOwnerGoesOnAndNobodyTakesOver() throws Exception
    {
        BackgroundLoad load = startUnderLoad(true);
        long epoch = cell.boxes.get("bole-1").status().path("mapEpoch").asLong();
        cell.platform(new PlatformSwitches(true, 0, 0, true));
        for (TestBox box : cell.boxesOf("bole"))
        {
            TestCell.await("rights are frozen", () -> "frozen".equals(box.status().path("rights").asText()));
        }
        int before = load.answered();
        TestCell.await("all goes on", () -> load.answered() > before + 200);
        assertThat(cell.boxes.get("bole-1").status().path("mapEpoch").asLong()).isEqualTo(epoch);
        cell.platform(PlatformSwitches.GOOD);
        for (TestBox box : cell.boxesOf("bole"))
        {
            TestCell.await("rights are valid", () -> "valid".equals(box.status().path("rights").asText()));
        }
        assertNothingOverloaded(load);
    }

    @Test
    void oneBoxCutOffAloneStopsPlacingBeforeAnotherTakesOver() throws Exception
    {
        BackgroundLoad load = startUnderLoad(true);
        TestBox alone = cell.boxes.get("bole-1");
        List<TestBox> others = List.of(cell.boxes.get("bole-2"), cell.boxes.get("bole-3"));
        cell.cutFromPlatform(List.of(alone));
        cell.cutBetween(List.of(alone), others);
        TestCell.await("its rights end", () -> "none".equals(alone.status().path("rights").asText()));
        TestCell.await("it is taken out", () -> others.get(0).status().path("boxes").size() == 2);
        HttpReply refused = cell.ask(alone, "lookup", null, "{\"echo\":\"alone\"}", 500);
        assertThat(TestCell.outcome(refused)).isEqualTo("not-run");
        assertThat(cell.starts().stream().map(StartRecord::body).anyMatch(b -> b.contains("alone")))
                .isFalse();
        cell.heal();
        TestCell.await("it is back", () -> others.get(0).status().path("boxes").size() == 3);
        assertNothingOverloaded(load);
    }

    @Test
    void requestsWhoseCallersGaveUpHoldTheirRoomUntilTheWorkerIsDone() throws Exception
    {
        cell = TestCell.started(new CellOptions(List.of("bole"), 2, 2, 4, true));
        TestBox box = cell.boxes.get("bole-1");
        List<Callable<HttpReply>> asks = new ArrayList<>();
        for (int i = 0; i < 120; i++)
        {
            asks.add(() -> cell.ask(box, "lookup", null, "{\"millis\":700,\"echo\":\"late\"}", 150));
        }
        for (HttpReply reply : WholePathTest.all(asks, 30))
        {
            assertThat(TestCell.outcome(reply)).isAnyOf("unknown", "not-run");
        }
        assertThat(cell.overloads()).isEqualTo(0);
        TestCell.await("the room is free again", () -> box.status().path("free").path("slots").asInt() == 4);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNewOwnerCountsWhatTheKilledOneStarted(boolean fencing) throws Exception
    {
        cell = TestCell.started(new CellOptions(List.of("bole"), 3, 3, 4, fencing));
        BackgroundLoad load = new BackgroundLoad(cell,
                List.of(cell.boxes.get("bole-2"), cell.boxes.get("bole-3")), 40, "lookup", 6_000);
        TestCell.await("all slots are taken", () -> cell.starts().size() >= 12);
        cell.boxes.get("bole-1").process.kill();
        TestBox other = cell.boxes.get("bole-2");
        TestCell.await("its workers are taken over", () -> other.status().path("boxes").size() == 2);
        TestCell.await("later requests ran", () -> cell.starts().size() >= 24);
        load.stop();
        assertThat(cell.overloads()).isEqualTo(0);
    }
}
