/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.concurrent.Callable;

import java.util.ArrayList;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gaugehollow.net.HttpReply;
import org.gaugehollow.standin.StartRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that ran although they were answered as not run, and against excessive
 * retries when upstreams fail.
 */
class NotRunTest
{
    private static final int CALLER_COUNT = 16;
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
    void requestsAnsweredAsNotRunNeverReachedAWorker() throws Exception
    {
        BackgroundLoad load = new BackgroundLoad(cell, List.copyOf(cell.boxes.values()), CALLER_COUNT,
                "lookup", 20);
        TestCell.await("load runs", () -> load.answeredCount() > 200);
        cell.workers.get("bole-w1").freeze();
        TestCell.await("load continues", () -> load.answeredCount() > 500);
        cell.workers.get("bole-w1").thaw();
        cell.boxes.get("bole-2").process.freeze();
        Thread.sleep(3_000);
        cell.boxes.get("bole-2").process.thaw();
        int before = load.answeredCount();
        TestCell.await("load continues after the freeze", () -> load.answeredCount() > before + 300);
        assertAnswersMatchWorkerRecords(load.stop());
    }

    @Test
    void retriesStayLimitedWhenHalfTheUpstreamsAreKilled() throws Exception
    {
        BackgroundLoad load = new BackgroundLoad(cell, List.copyOf(cell.boxes.values()), CALLER_COUNT,
                "lookup", 10);
        TestCell.await("load runs", () -> load.answeredCount() > 200);
        cell.workers.get("bole-w1").kill();
        cell.workers.get("bole-w2").kill();
        int before = load.answeredCount();
        TestCell.await("load continues", () -> load.answeredCount() > before + 600);
        Map<String, HttpReply> replies = load.stop();
        double retries = 0;
        for (TestBox box : cell.boxes.values())
        {
            retries += box.metric("gaugehollow_retries_total");
        }
        assertThat(retries).isLessThan(0.2 * replies.size() + 150);
        assertAnswersMatchWorkerRecords(replies);
    }

    private void assertAnswersMatchWorkerRecords(Map<String, HttpReply> replies) throws InterruptedException
    {
        Map<String, Integer> starts = new HashMap<>();
        for (StartRecord start : cell.starts())
        {
            String echo = start.body().replaceAll(".*\"echo\":\"([^\"]*)\".*", "$1");
            starts.merge(echo, 1, Integer::sum);
        }
        replies.forEach((echo, reply) ->
        {
            int runCount = starts.getOrDefault(echo, 0);
            assertWithMessage(echo).that(runCount).isAtMost(1);
            if ("not-run".equals(TestCell.outcome(reply)))
            {
                assertWithMessage(echo + " " + TestCell.text(reply)).that(runCount).isEqualTo(0);
                assertThat(reply.headers().get("Retry-After")).isNotNull();
            }
            if ("answered".equals(TestCell.outcome(reply)))
            {
                assertThat(TestCell.text(reply)).isEqualTo("{\"echo\":\"" + echo + "\"}");
            }
        });
        assertThat(cell.countOverloads()).isEqualTo(0);
    }

    @Test
    void requestsThatMayHaveRunAreNotRetried() throws Exception
    {
        List<Callable<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < 40; i++)
        {
            String body = "{\"millis\":5,\"echo\":\"once-" + i + "\",\"behave\":\""
                    + (i % 2 == 0 ? "drop" : "cut") + "\"}";
            TestBox box = List.copyOf(cell.boxes.values()).get(i % 3);
            calls.add(() -> cell.send(box, "lookup", null, body, 5_000));
        }
        for (HttpReply reply : EndToEndTest.callAll(calls, 8))
        {
            assertThat(TestCell.outcome(reply)).isAnyOf("unknown", "not-run");
        }
        for (int i = 0; i < 40; i++)
        {
            String echo = "\"once-" + i + "\"";
            assertThat(cell.starts().stream().filter(s -> s.body().contains(echo)).count()).isAtMost(1);
        }
    }
}
