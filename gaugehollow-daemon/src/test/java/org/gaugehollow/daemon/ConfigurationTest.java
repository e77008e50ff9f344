/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpConnection;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.standin.PlatformSwitches;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/**
 * Guards against accepted changes that are lost or reverted and against conflicting changes that
 * are both accepted.
 */
class ConfigurationTest
{
    private TestCell cell;

    @BeforeEach
    void start() throws InterruptedException
    {
        cell = TestCell.start(CellOptions.oneHall(3, 1));
    }

    @AfterEach
    void stop()
    {
        cell.close();
    }

    private HttpReply putWorkload(TestBox box, long revision, int timeoutMillis) throws InterruptedException
    {
        byte[] spec = ("{\"taskClass\":\"batch\",\"repeatable\":true,\"timeoutMillis\":" + timeoutMillis
                + "}").getBytes(StandardCharsets.UTF_8);
        HttpMessage message = new HttpMessage("PUT", "/v1/workloads/rebuild", "",
                new DefaultHttpHeaders().set("If-Match", "\"" + revision + "\""), spec);
        try (HttpCaller caller = new HttpCaller(cell.loops, NetAddress.parse(box.operatorAddress)))
        {
            return caller.call(message, 10_000);
        }
    }

    private static long fetchRevision(TestBox box) throws InterruptedException
    {
        return box.getJson("/v1/workloads/rebuild").path("revision").asLong();
    }

    private static int fetchTimeoutMillis(TestBox box) throws InterruptedException
    {
        return box.getJson("/v1/workloads/rebuild").path("spec").path("timeoutMillis").asInt();
    }

    private void awaitTimeoutOnAllBoxes(int timeoutMillis) throws InterruptedException
    {
        for (TestBox box : cell.boxes.values())
        {
            TestCell.await("change is applied at " + box.name,
                    () -> fetchTimeoutMillis(box) == timeoutMillis);
        }
    }

    @Test
    void exactlyOneOfSeveralConcurrentChangesIsAccepted() throws Exception
    {
        for (int round = 0; round < 10; round++)
        {
            TestBox first = cell.boxes.get("bole-1");
            long base = fetchRevision(first);
            List<Callable<HttpReply>> changes = new ArrayList<>();
            int offset = 1_000 * (round + 1);
            for (int i = 0; i < 6; i++)
            {
                TestBox box = List.copyOf(cell.boxes.values()).get(i % 3);
                int value = offset + i;
                changes.add(() -> putWorkload(box, base, value));
            }
            List<HttpReply> replies = EndToEndTest.callAll(changes, 6);
            assertThat(replies.stream().filter(r -> r.status() == 200).count()).isEqualTo(1);
            assertThat(replies.stream().filter(r -> r.status() == 412).count()).isEqualTo(5);
            HttpReply won = replies.stream().filter(r -> r.status() == 200).findFirst().orElseThrow();
            JsonNode view = Json.read(won.body(), JsonNode.class, ResultCode.INTERNAL);
            awaitTimeoutOnAllBoxes(view.path("spec").path("timeoutMillis").asInt());
        }
    }

    @Test
    void changeWhoseStoreAnswerIsLostIsReportedAsAccepted() throws Exception
    {
        TestBox box = cell.boxes.get("bole-1");
        long base = fetchRevision(box);
        cell.setPlatformSwitches(new PlatformSwitches(false, 0, 1, false));
        HttpReply reply = putWorkload(box, base, 4_321);
        assertThat(reply.status()).isEqualTo(200);
        awaitTimeoutOnAllBoxes(4_321);
        assertThat(putWorkload(box, base, 9_999).status()).isEqualTo(412);
        awaitTimeoutOnAllBoxes(4_321);
    }

    @Test
    void boxRestartedDuringAnOutageKeepsTheNewestConfiguration() throws Exception
    {
        TestBox box = cell.boxes.get("bole-1");
        assertThat(putWorkload(box, fetchRevision(box), 7_001).status()).isEqualTo(200);
        awaitTimeoutOnAllBoxes(7_001);
        cell.setPlatformSwitches(new PlatformSwitches(true, 0, 0, true));
        TestCell.await("rights are frozen", () -> "frozen".equals(box.status().path("rights").asText()));
        cell.boxes.get("bole-3").process.kill();
        TestBox restarted = cell.startBox("bole-3", "bole");
        TestCell.await("restarted box has the newest configuration",
                () -> fetchTimeoutMillis(restarted) == 7_001);
        HttpReply rejected = putWorkload(box, fetchRevision(box), 8_000);
        assertThat(rejected.status()).isAnyOf(503, 504);
        awaitTimeoutOnAllBoxes(7_001);
        cell.setPlatformSwitches(PlatformSwitches.NORMAL);
        TestCell.await("changes are accepted again",
                () -> putWorkload(box, fetchRevision(box), 9_001).status() == 200);
        awaitTimeoutOnAllBoxes(9_001);
    }

    @Test
    void watchShowsEveryChangeOnceAndInOrder() throws Exception
    {
        TestBox box = cell.boxes.get("bole-1");
        TestBox watched = cell.boxes.get("bole-3");
        long from = watched.status().path("configRevision").asLong();
        List<Long> expected = new ArrayList<>();
        for (int i = 1; i <= 30; i++)
        {
            HttpReply reply = putWorkload(box, fetchRevision(box), 1_000 + i);
            assertThat(reply.status()).isEqualTo(200);
            expected.add(
                    Json.read(reply.body(), JsonNode.class, ResultCode.INTERNAL).path("revision").asLong());
        }
        List<Long> seen = new ArrayList<>();
        StringBuilder partial = new StringBuilder();
        try (HttpCaller caller = new HttpCaller(cell.loops, NetAddress.parse(watched.operatorAddress));
                HttpConnection stream = caller.openOwn(2_000))
        {
            stream.openStream(new HttpMessage("GET", "/v1/workloads", "watch=true&from=" + from,
                    new DefaultHttpHeaders(), new byte[0]), SteadyClock.nanos() + 5_000_000_000L);
            TestCell.await("watch shows all changes", () ->
            {
                partial.append(new String(stream.readChunk(SteadyClock.nanos() + 1_000_000_000L, true),
                        StandardCharsets.UTF_8));
                readLines(partial, seen);
                return seen.size() >= expected.size();
            });
        }
        assertThat(seen).isEqualTo(expected);
    }

    private static void readLines(StringBuilder partial, List<Long> seen)
    {
        int end = partial.indexOf("\n");
        while (end >= 0)
        {
            JsonNode line = Json.read(partial.substring(0, end).getBytes(StandardCharsets.UTF_8),
                    JsonNode.class, ResultCode.INTERNAL);
            if ("PUT".equals(line.path("type").asText()))
            {
                seen.add(line.path("revision").asLong());
            }
            partial.delete(0, end + 1);
            end = partial.indexOf("\n");
        }
    }

    @Test
    void storeCallRateStaysBelowAThirdOfTheBudget() throws Exception
    {
        int before = cell.platformCallCounts().values().stream().mapToInt(Integer::intValue).sum();
        long startedAt = SteadyClock.nanos();
        Thread.sleep(5_000);
        int after = cell.platformCallCounts().values().stream().mapToInt(Integer::intValue).sum();
        double perSecond = (after - before) / ((SteadyClock.nanos() - startedAt) / 1e9);
        assertThat(perSecond).isLessThan(2_500 / 3.0);
    }
}
