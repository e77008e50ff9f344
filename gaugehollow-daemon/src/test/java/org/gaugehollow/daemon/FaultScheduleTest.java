/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.standin.PlatformSwitches;
import org.gaugehollow.standin.StartRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that run twice or are answered wrongly under random overlapping faults.
 * The system properties {@code gaugehollow.seeds} and {@code gaugehollow.firstSeed} select the
 * seeds.
 */
class FaultScheduleTest
{
    private static final int SEED_COUNT = Integer.getInteger("gaugehollow.seeds", 15);
    private static final int FIRST_SEED = Integer.getInteger("gaugehollow.firstSeed", 1);
    private static final int FAULT_KINDS = 7;
    private int restarts;

    @Test
    void requestsRunAtMostOnceUnderRandomOverlappingFaults() throws Exception
    {
        try (TestCell cell = TestCell.start(new CellOptions(List.of("bole"), 3, 2, 4, true)))
        {
            for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++)
            {
                runSchedule(cell, seed);
            }
        }
    }

    private void runSchedule(TestCell cell, int seed) throws Exception
    {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_128_PP.create(seed);
        int before = cell.starts().size();
        List<TestBox> boxes = cell.boxesOf("bole");
        BackgroundLoad goals = new BackgroundLoad(cell, boxes, 6, "goal", 30, "s" + seed + "-g");
        BackgroundLoad lookups = new BackgroundLoad(cell, boxes, 4, "lookup", 60, "s" + seed + "-l");
        List<String> faults = new ArrayList<>();
        List<TestBox> frozen = new ArrayList<>();
        List<TestBox> killed = new ArrayList<>();
        for (int i = 0; i < 3; i++)
        {
            Thread.sleep(random.nextInt(50, 500));
            faults.add(inject(cell, random, boxes.get(random.nextInt(boxes.size())), frozen, killed));
        }
        Thread.sleep(random.nextInt(200, 3_000));
        cell.setPlatformSwitches(PlatformSwitches.NORMAL);
        cell.reconnectAll();
        frozen.forEach(box -> box.process.thaw());
        Map<String, HttpReply> replies = new HashMap<>(goals.stop());
        replies.putAll(lookups.stop());
        restart(cell, killed);
        cell.awaitConverged();
        String schedule = "seed " + seed + " " + faults;
        System.out.println(schedule + ": " + replies.size() + " requests");
        assertAnswersMatchWorkerRecords(cell, replies, schedule);
        assertWithMessage(schedule).that(cell.starts().size()).isAtLeast(before);
    }

    /** Injects one random fault and returns its description. */
    private static String inject(TestCell cell, UniformRandomProvider random, TestBox box,
            List<TestBox> frozen, List<TestBox> killed) throws InterruptedException
    {
        List<TestBox> others = cell.boxesOf("bole").stream().filter(b -> b != box).toList();
        switch (random.nextInt(FAULT_KINDS))
        {
            case 0 -> cell.setPlatformSwitches(new PlatformSwitches(true, 0, 0, true));
            case 1 -> cell.setPlatformSwitches(new PlatformSwitches(false, 450, 0, false));
            case 2 -> cell.setPlatformSwitches(new PlatformSwitches(false, 0, 3, false));
            case 3 -> {
                cell.disconnect(List.of(box), others);
                return "peers of " + box.name + " disconnected";
            }
            case 4 -> {
                cell.disconnectFromPlatform(List.of(box));
                cell.disconnect(List.of(box), others);
                return box.name + " isolated";
            }
            case 5 -> {
                if (killed.isEmpty())
                {
                    frozen.add(box);
                    box.process.freeze();
                    return box.name + " frozen";
                }
            }
            default -> {
                if (killed.isEmpty() && frozen.isEmpty())
                {
                    killed.add(box);
                    box.process.kill();
                    return box.name + " killed";
                }
            }
        }
        return "platform fault";
    }

    private void restart(TestCell cell, List<TestBox> killed)
    {
        for (TestBox box : killed)
        {
            restarts++;
            cell.boxes.remove(box.name);
            cell.startBox("bole-again" + restarts, "bole");
        }
    }

    private static void assertAnswersMatchWorkerRecords(TestCell cell, Map<String, HttpReply> replies,
            String schedule) throws InterruptedException
    {
        Map<String, Integer> starts = new HashMap<>();
        for (StartRecord start : cell.starts())
        {
            starts.merge(start.body().replaceAll(".*\"echo\":\"([^\"]*)\".*", "$1"), 1, Integer::sum);
        }
        replies.forEach((echo, reply) ->
        {
            int runCount = starts.getOrDefault(echo, 0);
            String description = schedule + ' ' + echo + ' ' + TestCell.text(reply);
            assertWithMessage(description).that(runCount).isAtMost(1);
            if ("answered".equals(TestCell.outcome(reply)))
            {
                assertWithMessage(description).that(runCount).isEqualTo(1);
                assertThat(TestCell.text(reply)).isEqualTo("{\"echo\":\"" + echo + "\"}");
            }
            if ("not-run".equals(TestCell.outcome(reply)))
            {
                assertWithMessage(description).that(runCount).isEqualTo(0);
            }
        });
        assertWithMessage(schedule).that(cell.countOverloads()).isEqualTo(0);
    }
}
