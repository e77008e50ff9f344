/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import org.gaugehollow.net.HttpReply;
import org.gaugehollow.standin.PlatformSwitches;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests of non-repeatable workloads that run twice. */
class AtMostOnceTest
{
    private static final String SLOW_BODY = "{\"millis\":600,\"echo\":\"goal\"}";
    private static final String QUICK_BODY = "{\"millis\":1,\"echo\":\"goal\"}";
    private static final int KEY_COUNT = 24;
    private TestCell cell;

    @BeforeEach
    void start() throws InterruptedException
    {
        cell = TestCell.start(new CellOptions(List.of("bole", "kality"), 3, 2, 8, true));
    }

    @AfterEach
    void stop()
    {
        cell.close();
    }

    @Test
    void repeatedRequestsThroughOtherBoxesAndHallsRunOnce() throws Exception
    {
        List<Callable<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < KEY_COUNT; i++)
        {
            String key = "key-" + i;
            for (TestBox box : cell.boxes.values())
            {
                calls.add(() -> cell.send(box, "goal", "team-bole", key, "{\"millis\":30,\"echo\":\"goal\"}",
                        10_000));
            }
        }
        for (HttpReply reply : EndToEndTest.callAll(calls, 30))
        {
            assertWithMessage(TestCell.text(reply)).that(TestCell.outcome(reply)).isEqualTo("answered");
        }
        for (int i = 0; i < KEY_COUNT; i++)
        {
            assertThat(cell.countStartsOfKey("key-" + i)).isEqualTo(1);
        }
    }

    @Test
    void keysRunAtMostOnceWhenTheirOwnerIsKilledMidRun() throws Exception
    {
        TestBox victim = cell.boxesOf("bole").get(0);
        TestBox other = cell.boxesOf("bole").get(1);
        sendAllDuringFault(other, victim.process::kill);
        assertAnswersMatchWorkerRecords(
                List.of(other, cell.boxesOf("bole").get(2), cell.boxesOf("kality").get(0)));
    }

    @Test
    void keysRunAtMostOnceWhenTheirOwnerIsFrozenPastItsLease() throws Exception
    {
        TestBox victim = cell.boxesOf("bole").get(0);
        TestBox other = cell.boxesOf("bole").get(1);
        sendAllDuringFault(other, victim.process::freeze);
        TestCell.await("the frozen box is removed from the map",
                () -> other.status().path("boxes").size() == 2);
        resendAll(List.of(other));
        victim.process.thaw();
        assertAnswersMatchWorkerRecords(List.of(other, victim));
    }

    @Test
    void keysRunAtMostOnceWhenABoxIsKilledDuringAStoreOutage() throws Exception
    {
        TestBox victim = cell.boxesOf("bole").get(0);
        TestBox other = cell.boxesOf("bole").get(1);
        cell.setPlatformSwitches(new PlatformSwitches(true, 0, 0, true));
        TestCell.await("rights are frozen", () -> "frozen".equals(other.status().path("rights").asText()));
        sendAllDuringFault(other, victim.process::kill);
        resendAll(List.of(other, cell.boxesOf("bole").get(2)));
        cell.setPlatformSwitches(PlatformSwitches.NORMAL);
        TestCell.await("the killed box is removed from the map",
                () -> other.status().path("boxes").size() == 2);
        assertAnswersMatchWorkerRecords(List.of(other, cell.boxesOf("bole").get(2)));
    }

    @Test
    void newKeysRunAfterOwnerAndSuccessorAreKilledTogether() throws Exception
    {
        List<TestBox> bole = cell.boxesOf("bole");
        runAll(bole.get(0), QUICK_BODY);
        bole.get(0).process.kill();
        bole.get(1).process.kill();
        TestBox survivor = bole.get(2);
        TestCell.await("the last box owns everything", () -> survivor.status().path("keySlots").asInt() == 64
                && survivor.status().path("boxes").size() == 1);
        resendAll(List.of(survivor));
        for (int i = 0; i < KEY_COUNT; i++)
        {
            assertThat(cell.countStartsOfKey("key-" + i)).isAtMost(1);
        }
        TestCell.await("a new key runs", () -> "answered".equals(TestCell
                .outcome(cell.send(survivor, "goal", "new-" + SteadyClock.nanos(), QUICK_BODY, 3_000))));
    }

    private void runAll(TestBox box, String body) throws Exception
    {
        List<Callable<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < KEY_COUNT; i++)
        {
            String key = "key-" + i;
            calls.add(() -> cell.send(box, "goal", "team-bole", key, body, 4_000));
        }
        for (HttpReply reply : EndToEndTest.callAll(calls, KEY_COUNT))
        {
            assertThat(TestCell.outcome(reply)).isEqualTo("answered");
        }
    }

    /** Sends all keys through a box and injects a fault while the requests run. */
    private void sendAllDuringFault(TestBox box, Runnable fault) throws Exception
    {
        List<CompletableFuture<Void>> calls = new ArrayList<>();
        for (int i = 0; i < KEY_COUNT; i++)
        {
            String key = "key-" + i;
            calls.add(CompletableFuture.runAsync(() -> sendUnchecked(box, key, SLOW_BODY, 1_500),
                    Thread::startVirtualThread));
        }
        TestCell.await("requests run", () -> !cell.starts().isEmpty());
        fault.run();
        calls.forEach(CompletableFuture::join);
    }

    private HttpReply sendUnchecked(TestBox box, String key, String body, int timeoutMillis)
    {
        try
        {
            return cell.send(box, "goal", "team-bole", key, body, timeoutMillis);
        }
        catch (InterruptedException e)
        {
            throw new IllegalStateException(e);
        }
    }

    private List<HttpReply> resendAll(List<TestBox> boxes) throws Exception
    {
        List<Callable<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < KEY_COUNT; i++)
        {
            String key = "key-" + i;
            boxes.forEach(box -> calls.add(() -> sendUnchecked(box, key, QUICK_BODY, 3_000)));
        }
        return EndToEndTest.callAll(calls, 24);
    }

    /** Asserts that every key ran at most once and that repeated requests are answered accordingly. */
    private void assertAnswersMatchWorkerRecords(List<TestBox> boxes) throws Exception
    {
        TestBox target = boxes.get(0);
        TestCell.await("every key gets a final answer", () ->
        {
            for (int i = 0; i < KEY_COUNT; i++)
            {
                String outcome = TestCell.outcome(sendUnchecked(target, "key-" + i, QUICK_BODY, 3_000));
                if (!"answered".equals(outcome) && !"unknown".equals(outcome))
                {
                    return false;
                }
            }
            return true;
        });
        List<HttpReply> replies = resendAll(boxes);
        for (int i = 0; i < KEY_COUNT; i++)
        {
            long starts = cell.countStartsOfKey("key-" + i);
            assertWithMessage("key-" + i).that(starts).isAtMost(1);
            for (int b = 0; b < boxes.size(); b++)
            {
                HttpReply reply = replies.get(i * boxes.size() + b);
                if ("answered".equals(TestCell.outcome(reply)))
                {
                    assertThat(starts).isEqualTo(1);
                }
                if ("not-run".equals(TestCell.outcome(reply)))
                {
                    assertWithMessage(TestCell.text(reply)).that(starts).isEqualTo(0);
                }
            }
        }
        assertThat(cell.countOverloads()).isEqualTo(0);
    }
}
