/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

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
}
