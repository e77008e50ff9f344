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
 * An accepted configuration is in force everywhere and never reverts; of racing operators one wins.
 */
class ConfigurationTest
{
    private TestCell cell;

    @BeforeEach
    void start() throws InterruptedException
    {
        cell = TestCell.started(CellOptions.oneHall(3, 1));
    }

    @AfterEach
    void stop()
    {
        cell.close();
    }

    private HttpReply change(TestBox box, long revision, int timeoutMillis) throws InterruptedException
    {
        byte[] spec = ("{\"taskClass\":\"batch\",\"repeatable\":true,\"timeoutMillis\":" + timeoutMillis
                + "}").getBytes(StandardCharsets.UTF_8);
        HttpMessage message = new HttpMessage("PUT", "/v1/workloads/rebuild", "",
                new DefaultHttpHeaders().set("If-Match", "\"" + revision + "\""), spec);
        try (HttpCaller caller = new HttpCaller(cell.loops, NetAddress.parse(box.operators)))
        {
            return caller.call(message, 10_000);
        }
    }

    private static long revision(TestBox box) throws InterruptedException
    {
        return box.json("/v1/workloads/rebuild").path("revision").asLong();
    }

    private static int timeout(TestBox box) throws InterruptedException
    {
        return box.json("/v1/workloads/rebuild").path("spec").path("timeoutMillis").asInt();
    }

    private void awaitEverywhere(int timeoutMillis) throws InterruptedException
    {
        for (TestBox box : cell.boxes.values())
        {
            TestCell.await("in force at " + box.name, () -> timeout(box) == timeoutMillis);
        }
    }

    @Test
    void ofRacingOperatorsExactlyOneWinsAndTheOthersSeeTheConflict() throws Exception
    {
        for (int round = 0; round < 10; round++)
        {
            TestBox first = cell.boxes.get("bole-1");
            long base = revision(first);
            List<Callable<HttpReply>> changes = new ArrayList<>();
            int offset = 1_000 * (round + 1);
            for (int i = 0; i < 6; i++)
            {
                TestBox box = List.copyOf(cell.boxes.values()).get(i % 3);
                int value = offset + i;
                changes.add(() -> change(box, base, value));
            }
            List<HttpReply> replies = WholePathTest.all(changes, 6);
            assertThat(replies.stream().filter(r -> r.status() == 200).count()).isEqualTo(1);
            assertThat(replies.stream().filter(r -> r.status() == 412).count()).isEqualTo(5);
            HttpReply won = replies.stream().filter(r -> r.status() == 200).findFirst().orElseThrow();
            JsonNode view = Json.read(won.body(), JsonNode.class, ResultCode.INTERNAL);
            awaitEverywhere(view.path("spec").path("timeoutMillis").asInt());
        }
    }

    @Test
    void aWriteWhoseAnswerIsLostIsSettledBeforeTheOperatorIsTold() throws Exception
    {
        TestBox box = cell.boxes.get("bole-1");
        long base = revision(box);
        cell.platform(new PlatformSwitches(false, 0, 1, false));
        HttpReply reply = change(box, base, 4_321);
        assertThat(reply.status()).isEqualTo(200);
        awaitEverywhere(4_321);
        assertThat(change(box, base, 9_999).status()).isEqualTo(412);
        awaitEverywhere(4_321);
    }

    @Test
    void nothingRevertsOnABoxThatRestartsInAnOutage() throws Exception
    {
        TestBox box = cell.boxes.get("bole-1");
        assertThat(change(box, revision(box), 7_001).status()).isEqualTo(200);
        awaitEverywhere(7_001);
        cell.platform(new PlatformSwitches(true, 0, 0, true));
        TestCell.await("outage is noticed", () -> "frozen".equals(box.status().path("rights").asText()));
        cell.boxes.get("bole-3").process.kill();
        TestBox again = cell.startBox("bole-3", "bole");
        TestCell.await("it has the newest configuration", () -> timeout(again) == 7_001);
        HttpReply refused = change(box, revision(box), 8_000);
        assertThat(refused.status()).isAnyOf(503, 504);
        awaitEverywhere(7_001);
        cell.platform(PlatformSwitches.GOOD);
        TestCell.await("changes are accepted again", () -> change(box, revision(box), 9_001).status() == 200);
        awaitEverywhere(9_001);
    }

    @Test
    void aWatchShowsEveryChangeOnceAndInOrder() throws Exception
    {
        TestBox box = cell.boxes.get("bole-1");
        TestBox watched = cell.boxes.get("bole-3");
        long from = watched.status().path("configRevision").asLong();
        List<Long> made = new ArrayList<>();
        for (int i = 1; i <= 30; i++)
        {
            HttpReply reply = change(box, revision(box), 1_000 + i);
            assertThat(reply.status()).isEqualTo(200);
            made.add(Json.read(reply.body(), JsonNode.class, ResultCode.INTERNAL).path("revision").asLong());
        }
        List<Long> seen = new ArrayList<>();
        StringBuilder partial = new StringBuilder();
        try (HttpCaller caller = new HttpCaller(cell.loops, NetAddress.parse(watched.operators));
                HttpConnection stream = caller.openOwn(2_000))
        {
            stream.openStream(new HttpMessage("GET", "/v1/workloads", "watch=true&from=" + from,
                    new DefaultHttpHeaders(), new byte[0]), SteadyClock.nanos() + 5_000_000_000L);
            TestCell.await("all changes were seen", () ->
            {
                partial.append(new String(stream.readChunk(SteadyClock.nanos() + 1_000_000_000L, true),
                        StandardCharsets.UTF_8));
                readLines(partial, seen);
                return seen.size() >= made.size();
            });
        }
        assertThat(seen).isEqualTo(made);
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
    void callsToTheStoreGrowWithHallsAndStayBelowAThirdOfItsBudget() throws Exception
    {
        int before = cell.platformCalls().values().stream().mapToInt(Integer::intValue).sum();
        long startedAt = SteadyClock.nanos();
        Thread.sleep(5_000);
        int after = cell.platformCalls().values().stream().mapToInt(Integer::intValue).sum();
        double perSecond = (after - before) / ((SteadyClock.nanos() - startedAt) / 1e9);
        assertThat(perSecond).isLessThan(2_500 / 3.0);
    }
}
