/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.gaugehollow.job.StepSpec;
import org.junit.jupiter.api.Test;

/**
 * A busy cell: of 245 workers the last twenty in the list have room. Asked about the first hundred,
 * as before, the service needs 1.2 s for a step of 21 tasks in place of the 0.7 s that its
 * objective allows for, and names no worker with room.
 */
class AdviceCandidatesTest
{
    private static final int WORKERS = 245;
    private static final int ROOMY = 20;
    private static final int CPU = 9_000;
    private static final int USUAL = 30;

    private final CellState ledger = new CellState(() -> 0, 0);

    private void list(int free)
    {
        for (int i = 0; i < WORKERS; i++)
        {
            ledger.list(TestJobs.worker("w" + i, i < WORKERS - free ? CPU - 1 : 3 * CPU)).recordHeartbeat(0);
        }
    }

    private Step step(String id, int tasks)
    {
        return step(id, TestJobs.step(tasks, CPU, List.of()));
    }

    private Step step(String id, StepSpec spec)
    {
        ledger.accept(TestJobs.job(id, spec), 1, null, 0);
        return ledger.find(id + ".0.0.0").step();
    }

    private List<String> ask(Step step, Set<String> healthy)
    {
        return new AdviceCandidates(step, healthy).choose(ledger.workers()).stream().map(TrackedWorker::id)
                .toList();
    }

    private static boolean isRoomy(String worker)
    {
        return Integer.parseInt(worker.substring(1)) >= WORKERS - ROOMY;
    }

    @Test
    void workersWithRoomAreAskedAboutFirstAndNoMoreThanTheUsualCallHolds()
    {
        list(ROOMY);
        List<String> asked = ask(step("00000000000000a1", 10), Set.of());
        assertThat(asked.subList(0, ROOMY).stream().allMatch(AdviceCandidatesTest::isRoomy)).isTrue();
        assertThat(asked).hasSize(USUAL);
    }

    @Test
    void wideStepsAskAboutAsManyAsTheirTasksNeed()
    {
        list(WORKERS);
        int asked = ask(step("00000000000000a1", 100), Set.of()).size();
        assertThat(asked).isGreaterThan(USUAL);
        assertThat(asked).isAtMost(100);
    }

    /** Where nothing has room, tickets are asked for ahead, not for a hundred workers each time. */
    @Test
    void aCellWithoutRoomIsAskedAboutInUsualCalls()
    {
        list(0);
        assertThat(ask(step("00000000000000a1", 4), Set.of())).hasSize(USUAL);
    }

    @Test
    void stepsThatAskAtTheSameTimeDoNotCrowdOnTheSameWorkers()
    {
        list(WORKERS);
        Set<String> all = new HashSet<>();
        List<String> named = new ArrayList<>();
        for (int i = 1; i <= 4; i++)
        {
            List<String> asked = ask(step(String.format("%016x", i), 4), Set.of());
            all.addAll(asked);
            named.addAll(asked);
        }
        assertThat(named).hasSize(4 * USUAL);
        assertThat(all.size()).isGreaterThan(2 * USUAL);
    }

    @Test
    void knownWorkersComeBeforeOthersWithAsMuchRoom()
    {
        list(ROOMY);
        Set<String> healthy = Set.of("w230", "w240", "w3");
        assertThat(ask(step("00000000000000a1", 10), healthy).subList(0, 2)).containsExactly("w230", "w240");
    }
}
