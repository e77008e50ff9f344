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

/** A hall cut off from the other halls and from the platform serves what it can. */
class HallCutTest
{
    private static final String BODY = "{\"millis\":5,\"echo\":\"x\"}";
    private TestCell cell;

    @BeforeEach
    void start() throws InterruptedException
    {
        cell = TestCell.started(new CellOptions(List.of("bole", "kality"), 3, 2, 8, true));
    }

    @AfterEach
    void stop()
    {
        cell.close();
    }

    private void cutOff(String hall, String other)
    {
        cell.cutFromPlatform(cell.boxesOf(hall));
        cell.cutBetween(cell.boxesOf(hall), cell.boxesOf(other));
    }

    @Test
    void aHallCutOffWholeServesItsOwnCallersWithoutABreak() throws Exception
    {
        BackgroundLoad load = new BackgroundLoad(cell, cell.boxesOf("kality"), 8, "goal", 10);
        TestCell.await("load runs", () -> load.answered() > 100);
        cutOff("kality", "bole");
        TestBox inside = cell.boxesOf("kality").get(0);
        TestCell.await("rights are frozen", () -> "frozen".equals(inside.status().path("rights").asText()));
        int before = load.answered();
        TestCell.await("load goes on", () -> load.answered() > before + 300);
        Map<String, HttpReply> replies = load.stop();
        replies.forEach((key, reply) -> assertWithMessage(key + ' ' + TestCell.text(reply))
                .that(TestCell.outcome(reply)).isEqualTo("answered"));
        for (String key : replies.keySet())
        {
            assertThat(cell.startsOfKey(key)).isEqualTo(1);
        }
    }

    @Test
    void aKeyOfTheHallThatIsCutOffIsNotRunElsewhereAndSaysWhenToComeBack() throws Exception
    {
        TestBox outside = cell.boxesOf("bole").get(0);
        cutOff("kality", "bole");
        HttpReply reply = cell.ask(outside, "goal", "team-kality", "k-1", BODY, 2_000);
        assertThat(TestCell.outcome(reply)).isEqualTo("unknown");
        assertThat(reply.headers().get("Retry-After")).isNotNull();
        assertThat(cell.startsOfKey("k-1")).isEqualTo(0);
        HttpReply inside = cell.ask(cell.boxesOf("kality").get(1), "goal", "team-kality", "k-1", BODY, 4_000);
        assertThat(TestCell.outcome(inside)).isEqualTo("answered");
        cell.heal();
        TestCell.await("the recorded answer comes from outside too", () -> "1"
                .equals(TestCell.code(cell.ask(outside, "goal", "team-kality", "k-1", BODY, 2_000))));
        assertThat(cell.startsOfKey("k-1")).isEqualTo(1);
    }

    @Test
    void aBoxThatStartsInsideTheCutTakesTheConfigurationFromItsPeers() throws Exception
    {
        cutOff("kality", "bole");
        TestBox inside = cell.boxesOf("kality").get(0);
        TestCell.await("rights are frozen", () -> "frozen".equals(inside.status().path("rights").asText()));
        TestBox late = cell.startBox("kality-4", "kality");
        cell.cutFromPlatform(List.of(late));
        TestCell.await("it serves through its peers",
                () -> "answered".equals(TestCell.outcome(cell.ask(late, "lookup", null, BODY, 2_000))));
        assertThat(TestCell.outcome(cell.ask(late, "goal", "k-late", BODY, 4_000))).isEqualTo("answered");
        assertThat(late.status().path("workers").size()).isEqualTo(0);
    }

    @Test
    void changesMadeOutsideAreInForceInsideAfterTheCutHealsAndNothingReverts() throws Exception
    {
        TestBox inside = cell.boxesOf("kality").get(0);
        TestBox outside = cell.boxesOf("bole").get(0);
        long before = inside.status().path("configRevision").asLong();
        cutOff("kality", "bole");
        cell.put(outside, "workloads/later", "{\"taskClass\":\"batch\",\"repeatable\":true}");
        HttpReply refused = inside.operator("PUT", "/v1/workloads/inside",
                "{\"taskClass\":\"batch\"}".getBytes(StandardCharsets.UTF_8));
        assertThat(refused.status()).isEqualTo(503);
        assertThat(inside.status().path("configRevision").asLong()).isAtLeast(before);
        assertThat(inside.operator("GET", "/v1/workloads/later", new byte[0]).status()).isEqualTo(404);
        cell.heal();
        for (TestBox box : cell.boxes.values())
        {
            TestCell.await("the change is in force at " + box.name,
                    () -> box.operator("GET", "/v1/workloads/later", new byte[0]).status() == 200);
            assertThat(box.operator("GET", "/v1/workloads/inside", new byte[0]).status()).isEqualTo(404);
        }
    }

    @Test
    void aKeyWhoseHallIsGoneIsNotRunOnlyForACallerWhoNeverSentItBefore() throws Exception
    {
        TestBox outside = cell.boxesOf("bole").get(0);
        cell.boxesOf("kality").forEach(box -> box.process.kill());
        cell.closePeerHops("kality");
        HttpReply again = cell.ask(outside, "goal", "team-kality", "k-2", BODY, 2_000);
        assertThat(TestCell.code(again)).isEqualTo("4007");
        assertThat(again.headers().get("Retry-After")).isNotNull();
        HttpReply first = cell.askFirst(outside, "goal", "team-kality", "k-3", BODY, 2_000);
        assertThat(TestCell.code(first)).isEqualTo("3005");
        assertThat(TestCell.outcome(first)).isEqualTo("not-run");
        assertThat(cell.startsOfKey("k-2") + cell.startsOfKey("k-3")).isEqualTo(0);
    }
}
