/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.gaugehollow.net.HttpReply;
import org.gaugehollow.upstream.UpstreamHeaders;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against answers that are lost, damaged or delivered to the wrong request. */
class EndToEndTest
{
    private static final int REQUEST_COUNT = 1_000;
    private static TestCell cell;

    @BeforeAll
    static void start() throws InterruptedException
    {
        cell = TestCell.start(CellOptions.oneHall(3, 4));
    }

    @AfterAll
    static void stop()
    {
        cell.close();
    }

    @Test
    void concurrentRequestsThroughEveryBoxGetTheirOwnAnswers() throws Exception
    {
        List<TestBox> boxes = List.copyOf(cell.boxes.values());
        List<Callable<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < REQUEST_COUNT; i++)
        {
            TestBox box = boxes.get(i % boxes.size());
            String body = "{\"millis\":" + i % 7 + ",\"echo\":\"mine-" + i + "\"}";
            calls.add(() -> cell.send(box, "lookup", null, body, 30_000));
        }
        List<HttpReply> replies = callAll(calls, 40);
        for (int i = 0; i < REQUEST_COUNT; i++)
        {
            assertThat(TestCell.text(replies.get(i))).isEqualTo("{\"echo\":\"mine-" + i + "\"}");
            assertThat(TestCell.outcome(replies.get(i))).isEqualTo("answered");
            assertThat(replies.get(i).headers().get(UpstreamHeaders.UPSTREAM)).startsWith("bole-w");
        }
        assertThat(cell.countOverloads()).isEqualTo(0);
    }

    @Test
    void lateAnswersAreNotDeliveredToOtherRequests() throws Exception
    {
        TestBox box = cell.boxes.values().iterator().next();
        List<Callable<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < 60; i++)
        {
            boolean late = i % 3 == 0;
            String body = "{\"millis\":" + (late ? 400 : 1) + ",\"echo\":\"own-" + i + "\"}";
            calls.add(() -> cell.send(box, "lookup", null, body, late ? 150 : 30_000));
        }
        List<HttpReply> replies = callAll(calls, 12);
        for (int i = 0; i < replies.size(); i++)
        {
            HttpReply reply = replies.get(i);
            if (i % 3 == 0)
            {
                assertThat(TestCell.outcome(reply)).isAnyOf("unknown", "not-run");
                assertThat(reply.headers().get("Retry-After")).isNotNull();
            }
            else
            {
                assertThat(TestCell.text(reply)).isEqualTo("{\"echo\":\"own-" + i + "\"}");
            }
        }
    }

    @Test
    void brokenAnswersAreNotDeliveredToOtherRequests() throws Exception
    {
        String[] behaviours = {"cut", "drop", "twice", "wrong-task", "unnamed"};
        List<Callable<HttpReply>> calls = new ArrayList<>();
        List<TestBox> boxes = List.copyOf(cell.boxes.values());
        for (int i = 0; i < 150; i++)
        {
            String behave = i % 2 == 0 ? "" : behaviours[i / 2 % behaviours.length];
            String body = "{\"millis\":2,\"echo\":\"b-" + i + "\",\"behave\":\"" + behave + "\"}";
            TestBox box = boxes.get(i % boxes.size());
            calls.add(() -> cell.send(box, "lookup", null, body, 30_000));
        }
        List<HttpReply> replies = callAll(calls, 10);
        for (int i = 0; i < replies.size(); i++)
        {
            String behave = i % 2 == 0 ? "" : behaviours[i / 2 % behaviours.length];
            String outcome = TestCell.outcome(replies.get(i));
            boolean broken = List.of("cut", "drop", "wrong-task").contains(behave);
            assertWithMessage(behave + " " + TestCell.text(replies.get(i))).that(outcome)
                    .isEqualTo(broken ? "unknown" : "answered");
            if (!broken)
            {
                assertThat(TestCell.text(replies.get(i))).isEqualTo("{\"echo\":\"b-" + i + "\"}");
            }
        }
    }

    @Test
    void invalidRequestsAreRejectedWithAnErrorCode() throws Exception
    {
        TestBox box = cell.boxes.values().iterator().next();
        assertThat(TestCell.code(cell.send(box, "nothing", null, "{}", 1_000))).isEqualTo("2002");
        assertThat(TestCell.code(cell.send(box, "lookup", "no-team", null, "{}", 1_000))).isEqualTo("2003");
        assertThat(TestCell.code(cell.send(box, "goal", null, "{}", 1_000))).isEqualTo("2007");
        assertThat(TestCell.code(cell.send(box, "lookup", null, "x".repeat(70_000), 1_000)))
                .isEqualTo("2004");
        assertThat(cell.send(box, "lookup", null, "x".repeat(1_100_000), 1_000).status()).isEqualTo(413);
        HttpReply badTimeout = cell.send(box, "lookup", null, "{}", 0);
        assertThat(badTimeout.status()).isEqualTo(400);
        assertThat(box.callOperator("GET", "/v1/nothing", new byte[0]).status()).isEqualTo(404);
        assertThat(box.callOperator("PUT", "/v1/workloads/bad",
                "{\"taskClass\":\"soon\"}".getBytes(StandardCharsets.UTF_8)).status()).isEqualTo(422);
    }

    static List<HttpReply> callAll(List<Callable<HttpReply>> calls, int concurrency) throws Exception
    {
        try (ExecutorService pool = Executors.newFixedThreadPool(concurrency))
        {
            List<HttpReply> replies = new ArrayList<>();
            for (Future<HttpReply> reply : pool.invokeAll(calls))
            {
                replies.add(reply.get());
            }
            return replies;
        }
    }
}
