/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.gaugehollow.net.HttpReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against outages and duplicate runs when a hall is cut off from the platform and the
 * others.
 */
class HallCutTest
{
    private static final String BODY = "{\"millis\":5,\"echo\":\"x\"}";
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

    private void isolateHall(String hall, String other)
    {
        cell.disconnectFromPlatform(cell.boxesOf(hall));
        cell.disconnect(cell.boxesOf(hall), cell.boxesOf(other));
    }

    @Test
    void aHallCutOffWholeServesItsOwnCallersWithoutABreak() throws Exception
    {
        BackgroundLoad load = new BackgroundLoad(cell, cell.boxesOf("kality"), 8, "goal", 10);
        TestCell.await("load runs", () -> load.answeredCount() > 100);
        isolateHall("kality", "bole");
        TestBox inside = cell.boxesOf("kality").get(0);
        TestCell.await("rights are frozen", () -> "frozen".equals(inside.status().path("rights").asText()));
        int before = load.answeredCount();
        TestCell.await("load continues", () -> load.answeredCount() > before + 300);
        Map<String, HttpReply> replies = load.stop();
        replies.forEach((key, reply) -> assertWithMessage(key + ' ' + TestCell.text(reply))
                .that(TestCell.outcome(reply)).isEqualTo("answered"));
        for (String key : replies.keySet())
        {
            assertThat(cell.countStartsOfKey(key)).isEqualTo(1);
        }
    }

    @Test
    void keyOfAHallThatIsCutOffDoesNotRunInAnotherHall() throws Exception
    {
        TestBox outside = cell.boxesOf("bole").get(0);
        isolateHall("kality", "bole");
        HttpReply reply = cell.send(outside, "goal", "team-kality", "k-1", BODY, 2_000);
        assertThat(TestCell.outcome(reply)).isEqualTo("unknown");
        assertThat(reply.headers().get("Retry-After")).isNotNull();
        assertThat(cell.countStartsOfKey("k-1")).isEqualTo(0);
        HttpReply inside = cell.send(cell.boxesOf("kality").get(1), "goal", "team-kality", "k-1", BODY,
                4_000);
        assertThat(TestCell.outcome(inside)).isEqualTo("answered");
        cell.reconnectAll();
        TestCell.await("the recorded answer is returned outside the hall too", () -> "1"
                .equals(TestCell.code(cell.send(outside, "goal", "team-kality", "k-1", BODY, 2_000))));
        assertThat(cell.countStartsOfKey("k-1")).isEqualTo(1);
    }

    @Test
    void boxStartedInAHallThatIsCutOffReadsTheConfigurationFromItsPeers() throws Exception
    {
        isolateHall("kality", "bole");
        TestBox inside = cell.boxesOf("kality").get(0);
        TestCell.await("rights are frozen", () -> "frozen".equals(inside.status().path("rights").asText()));
        TestBox added = cell.startBox("kality-4", "kality");
        cell.disconnectFromPlatform(List.of(added));
        TestCell.await("added box serves through its peers",
                () -> "answered".equals(TestCell.outcome(cell.send(added, "lookup", null, BODY, 2_000))));
        assertThat(TestCell.outcome(cell.send(added, "goal", "k-late", BODY, 4_000))).isEqualTo("answered");
        assertThat(added.status().path("workers").size()).isEqualTo(0);
    }

    @Test
    void changesMadeOutsideReachTheHallOnceItIsReconnected() throws Exception
    {
        TestBox inside = cell.boxesOf("kality").get(0);
        TestBox outside = cell.boxesOf("bole").get(0);
        long before = inside.status().path("configRevision").asLong();
        isolateHall("kality", "bole");
        cell.createResource(outside, "workloads/later", "{\"taskClass\":\"batch\",\"repeatable\":true}");
        HttpReply rejected = inside.callOperator("PUT", "/v1/workloads/inside",
                "{\"taskClass\":\"batch\"}".getBytes(StandardCharsets.UTF_8));
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(inside.status().path("configRevision").asLong()).isAtLeast(before);
        assertThat(inside.callOperator("GET", "/v1/workloads/later", new byte[0]).status()).isEqualTo(404);
        cell.reconnectAll();
        for (TestBox box : cell.boxes.values())
        {
            TestCell.await("the change is applied at " + box.name,
                    () -> box.callOperator("GET", "/v1/workloads/later", new byte[0]).status() == 200);
            assertThat(box.callOperator("GET", "/v1/workloads/inside", new byte[0]).status()).isEqualTo(404);
        }
    }

    @Test
    void keyOfAStoppedHallIsAnsweredAsNotRunOnlyOnTheFirstAttempt() throws Exception
    {
        TestBox outside = cell.boxesOf("bole").get(0);
        cell.boxesOf("kality").forEach(box -> box.process.kill());
        cell.closePeerProxies("kality");
        HttpReply repeated = cell.send(outside, "goal", "team-kality", "k-2", BODY, 2_000);
        assertThat(TestCell.code(repeated)).isEqualTo("4007");
        assertThat(repeated.headers().get("Retry-After")).isNotNull();
        HttpReply first = cell.sendFirstAttempt(outside, "goal", "team-kality", "k-3", BODY, 2_000);
        assertThat(TestCell.code(first)).isEqualTo("3005");
        assertThat(TestCell.outcome(first)).isEqualTo("not-run");
        assertThat(cell.countStartsOfKey("k-2") + cell.countStartsOfKey("k-3")).isEqualTo(0);
    }
}
