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

/** Guards against requests that are lost when a box or an upstream is stopped as planned. */
class StopTest
{
    private TestCell cell;

    @BeforeEach
    void start() throws InterruptedException
    {
        cell = TestCell.start(CellOptions.oneHall(3, 4));
    }

    @AfterEach
    void stop()
    {
        cell.close();
    }

    @Test
    void plannedStopOfABoxInterruptsNoRequest() throws Exception
    {
        TestBox leaving = cell.boxes.get("bole-1");
        List<TestBox> others = List.of(cell.boxes.get("bole-2"), cell.boxes.get("bole-3"));
        BackgroundLoad otherLoad = new BackgroundLoad(cell, others, 10, "goal", 50);
        BackgroundLoad leavingLoad = new BackgroundLoad(cell, List.of(leaving), 6, "lookup", 400);
        TestCell.await("load runs",
                () -> otherLoad.answeredCount() > 100 && leavingLoad.answeredCount() > 10);
        leaving.process.terminate();
        TestCell.await("leaving box is not ready",
                () -> leaving.callOperator("GET", "/readyz", new byte[0]).status() == 503);
        Map<String, HttpReply> leavingReplies = leavingLoad.stop();
        leaving.process.awaitExit();
        int before = otherLoad.answeredCount();
        TestCell.await("other boxes continue", () -> otherLoad.answeredCount() > before + 100);
        assertAllAnswered(leavingReplies);
        assertAllAnswered(otherLoad.stop());
        assertThat(leaving.process.logText()).contains("0 requests in flight");
        assertThat(cell.countOverloads()).isEqualTo(0);
    }

    @Test
    void leavingUpstreamGetsNoNewRequestsAndFinishesItsOwn() throws Exception
    {
        BackgroundLoad load = new BackgroundLoad(cell, cell.boxesOf("bole"), 20, "lookup", 200);
        TestCell.await("load runs", () -> load.answeredCount() > 100);
        TestProcess worker = cell.workers.get("bole-w1");
        worker.terminate();
        worker.awaitExit();
        int before = load.answeredCount();
        TestCell.await("load continues", () -> load.answeredCount() > before + 100);
        assertAllAnswered(load.stop());
    }

    private static void assertAllAnswered(Map<String, HttpReply> replies)
    {
        replies.forEach(
                (key, reply) -> assertWithMessage(key + ' ' + reply.status() + ' ' + TestCell.text(reply))
                        .that(TestCell.outcome(reply)).isEqualTo("answered"));
    }

    @Test
    void plannedStopWaitsForLongRequestsInFlight() throws Exception
    {
        TestBox leaving = cell.boxes.get("bole-1");
        List<CompletableFuture<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++)
        {
            String key = i % 2 == 0 ? "long-" + i : null;
            calls.add(CompletableFuture.supplyAsync(() -> sendLongRequest(leaving, key),
                    Thread::startVirtualThread));
        }
        TestCell.await("all requests run", () -> cell.starts().size() == 8);
        leaving.process.terminate();
        for (CompletableFuture<HttpReply> call : calls)
        {
            assertWithMessage(TestCell.text(call.join())).that(TestCell.outcome(call.join()))
                    .isEqualTo("answered");
        }
        leaving.process.awaitExit();
        assertThat(cell.starts()).hasSize(8);
    }

    private HttpReply sendLongRequest(TestBox box, String key)
    {
        try
        {
            return cell.send(box, key == null ? "lookup" : "goal", key, "{\"millis\":5000,\"echo\":\"long\"}",
                    12_000);
        }
        catch (InterruptedException e)
        {
            throw new IllegalStateException(e);
        }
    }
}
