/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.concurrent.CompletableFuture;

import java.util.ArrayList;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;

import org.gaugehollow.net.HttpReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Planned stops cut off no request, and a leaving upstream gets no new work. */
class StopTest
{
    private TestCell cell;

    @BeforeEach
    void start() throws InterruptedException
    {
        cell = TestCell.started(CellOptions.oneHall(3, 4));
    }

    @AfterEach
    void stop()
    {
        cell.close();
    }

    @Test
    void aPlannedStopOfABoxCutsOffNothing() throws Exception
    {
        TestBox leaving = cell.boxes.get("bole-1");
        List<TestBox> others = List.of(cell.boxes.get("bole-2"), cell.boxes.get("bole-3"));
        BackgroundLoad elsewhere = new BackgroundLoad(cell, others, 10, "goal", 50);
        BackgroundLoad long400 = new BackgroundLoad(cell, List.of(leaving), 6, "lookup", 400);
        TestCell.await("load runs", () -> elsewhere.answered() > 100 && long400.answered() > 10);
        leaving.process.terminate();
        TestCell.await("it says that it is not ready",
                () -> leaving.operator("GET", "/readyz", new byte[0]).status() == 503);
        Map<String, HttpReply> there = long400.stop();
        leaving.process.awaitEnd();
        int before = elsewhere.answered();
        TestCell.await("the others go on", () -> elsewhere.answered() > before + 100);
        assertAllAnswered(there);
        assertAllAnswered(elsewhere.stop());
        assertThat(leaving.process.logText()).contains("0 requests in flight");
        assertThat(cell.overloads()).isEqualTo(0);
    }

    @Test
    void aLeavingUpstreamGetsNoNewWorkAndFinishesWhatItHas() throws Exception
    {
        BackgroundLoad load = new BackgroundLoad(cell, cell.boxesOf("bole"), 20, "lookup", 200);
        TestCell.await("load runs", () -> load.answered() > 100);
        TestProcess worker = cell.workers.get("bole-w1");
        worker.terminate();
        worker.awaitEnd();
        int before = load.answered();
        TestCell.await("load goes on", () -> load.answered() > before + 100);
        assertAllAnswered(load.stop());
    }

    private static void assertAllAnswered(Map<String, HttpReply> replies)
    {
        replies.forEach(
                (key, reply) -> assertWithMessage(key + ' ' + reply.status() + ' ' + TestCell.text(reply))
                        .that(TestCell.outcome(reply)).isEqualTo("answered"));
    }

    @Test
    void aPlannedStopWaitsForLongRequestsInFlight() throws Exception
    {
        TestBox leaving = cell.boxes.get("bole-1");
        List<CompletableFuture<HttpReply>> asks = new ArrayList<>();
        for (int i = 0; i < 8; i++)
        {
            String key = i % 2 == 0 ? "long-" + i : null;
            asks.add(CompletableFuture.supplyAsync(() -> askLong(leaving, key), Thread::startVirtualThread));
        }
        TestCell.await("they run", () -> cell.starts().size() == 8);
        leaving.process.terminate();
        for (CompletableFuture<HttpReply> ask : asks)
        {
            assertWithMessage(TestCell.text(ask.join())).that(TestCell.outcome(ask.join()))
                    .isEqualTo("answered");
        }
        leaving.process.awaitEnd();
        assertThat(cell.starts()).hasSize(8);
    }

    private HttpReply askLong(TestBox box, String key)
    {
        try
        {
            return cell.ask(box, key == null ? "lookup" : "goal", key, "{\"millis\":5000,\"echo\":\"long\"}",
                    12_000);
        }
        catch (InterruptedException e)
        {
            throw new IllegalStateException(e);
        }
    }
}
