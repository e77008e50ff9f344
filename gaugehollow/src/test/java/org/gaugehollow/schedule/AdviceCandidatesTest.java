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
 * Guards against advice calls that are too large or that include workers without free capacity.
 */
class AdviceCandidatesTest
{
    private static final int WORKERS = 245;
    private static final int WORKERS_WITH_CAPACITY = 20;
    private static final int CPU = 9_000;
    private static final int TYPICAL_CALL_SIZE = 30;

    private final CellState cellState = new CellState(() -> 0, 0);

    private void list(int free)
    {
        for (int i = 0; i < WORKERS; i++)
        {
            cellState.updateWorker(TestJobs.worker("w" + i, i < WORKERS - free ? CPU - 1 : 3 * CPU))
                    .recordHeartbeat(0);
        }
    }

    private Step step(String id, int tasks)
    {
        return step(id, TestJobs.step(tasks, CPU, List.of()));
    }

    private Step step(String id, StepSpec spec)
    {
        cellState.accept(TestJobs.job(id, spec), 1, null, 0);
        return cellState.findTask(id + ".0.0.0").step();
    }

    private List<String> choose(Step step, Set<String> allowedWorkers)
    {
        return new AdviceCandidates(step, step.waitingTasks().size(), allowedWorkers)
                .choose(cellState.workers()).stream().map(TrackedWorker::id).toList();
    }

    private static boolean hasCapacity(String worker)
    {
        return Integer.parseInt(worker.substring(1)) >= WORKERS - WORKERS_WITH_CAPACITY;
    }

    @Test
    void workersWithCapacityComeFirstAndCallSizeIsLimited()
    {
        list(WORKERS_WITH_CAPACITY);
        List<String> chosen = choose(step("00000000000000a1", 10), Set.of());
        assertThat(
                chosen.subList(0, WORKERS_WITH_CAPACITY).stream().allMatch(AdviceCandidatesTest::hasCapacity))
                .isTrue();
        assertThat(chosen).hasSize(TYPICAL_CALL_SIZE);
    }

    @Test
    void candidateCountGrowsWithWaitingTasks()
    {
        list(WORKERS);
        int chosen = choose(step("00000000000000a1", 100), Set.of()).size();
        assertThat(chosen).isGreaterThan(TYPICAL_CALL_SIZE);
        assertThat(chosen).isAtMost(100);
    }

    @Test
    void fullCellUsesTypicalCallSize()
    {
        list(0);
        assertThat(choose(step("00000000000000a1", 4), Set.of())).hasSize(TYPICAL_CALL_SIZE);
    }

    @Test
    void concurrentStepsChooseDifferentWorkers()
    {
        list(WORKERS);
        Set<String> distinct = new HashSet<>();
        List<String> chosen = new ArrayList<>();
        for (int i = 1; i <= 4; i++)
        {
            List<String> candidates = choose(step(String.format("%016x", i), 4), Set.of());
            distinct.addAll(candidates);
            chosen.addAll(candidates);
        }
        assertThat(chosen).hasSize(4 * TYPICAL_CALL_SIZE);
        assertThat(distinct.size()).isGreaterThan(2 * TYPICAL_CALL_SIZE);
    }

    @Test
    void knownAllowedWorkersComeFirstAmongEquals()
    {
        list(WORKERS_WITH_CAPACITY);
        Set<String> allowedWorkers = Set.of("w230", "w240", "w3");
        assertThat(choose(step("00000000000000a1", 10), allowedWorkers).subList(0, 2)).containsExactly("w230",
                "w240");
    }
}
