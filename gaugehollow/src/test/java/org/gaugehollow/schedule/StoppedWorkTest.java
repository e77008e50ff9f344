/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.urgency.StopCosts;
import org.junit.jupiter.api.Test;

/** Guards against work that is thrown away and that no operator sees. */
class StoppedWorkTest
{
    private final CellState cellState = new CellState(() -> 0, 0);
    private final StoppedWork stoppedWork = new StoppedWork(new StopCosts(400, 200, 1_000));

    @Test
    void lostWorkIsCountedByReason()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 2_000, List.of())), 1, null, 0);
        Task task = cellState.findTask(TestJobs.ID + ".0.0.0");
        task.assign(cellState.updateWorker(TestJobs.worker("w1", 4_000)), 1, 0);
        task.markRunning(0);
        Effects effects = new Effects();
        effects.stop(task);
        stoppedWork.add(StoppedWork.Reason.PREEMPTION, effects, TimeUnit.MILLISECONDS.toNanos(700));
        assertThat(stoppedWork.byLabel()).containsEntry("preemption", 1_400.0);
        assertThat(stoppedWork.byLabel()).containsEntry("slow_worker", 0.0);
    }

    @Test
    void onlyWorkSinceTheLastCheckpointIsLostWithAWorker()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.gang(1, 2_000)), 1, null, 0);
        Step step = cellState.findTask(TestJobs.ID + ".0.0.0").step();
        stoppedWork.addLost(new Effects.LostRun("task", 1, "w1", WorkerLossCause.CRASHED, 5_000, step));
        assertThat(stoppedWork.byLabel()).containsEntry("worker_lost", 1_400.0);
    }
}
