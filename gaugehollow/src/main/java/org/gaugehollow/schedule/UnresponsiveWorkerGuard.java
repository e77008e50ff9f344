/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Abandons the runs of tasks that allow duplicate runs while their worker is unresponsive, so that
 * they can be started elsewhere. All other tasks wait until the lease of the worker has certainly
 * expired.
 * <p>
 * Not thread-safe; guarded by the lock of the cell state.
 */
final class UnresponsiveWorkerGuard
{
    /** Leaves time for the next heartbeat to be answered if only one connection was lost. */
    private static final long MIN_UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final CellState cellState;

    /**
     * A run that was abandoned.
     *
     * @param task the name of the task
     * @param run the run number
     * @param worker the id of the unresponsive worker
     */
    record AbandonedRun(String task, int run, String worker)
    {
    }

    UnresponsiveWorkerGuard(CellState cellState)
    {
        this.cellState = cellState;
    }

    /**
     * Abandons runs on unresponsive workers.
     *
     * @param nowNanos the monotonic time, in nanoseconds
     * @param effects collects the crashes that are recorded
     * @return the abandoned runs
     */
    List<AbandonedRun> check(long nowNanos, Effects effects)
    {
        List<AbandonedRun> abandoned = new ArrayList<>();
        for (TrackedWorker worker : cellState.workers())
        {
            if (worker.isUnresponsiveFor(MIN_UNRESPONSIVE_NANOS, nowNanos))
            {
                abandonRuns(worker, abandoned, effects);
            }
        }
        return abandoned;
    }

    /**
     * Abandons only runs whose start was answered: a start that may still arrive must be stopped before
     * anything else is started on the worker.
     */
    private void abandonRuns(TrackedWorker worker, List<AbandonedRun> abandoned, Effects effects)
    {
        for (Task task : worker.tasks())
        {
            if (task.phase() == Task.Phase.RUNNING && task.allowsDuplicateRuns()
                    && cellState.crashGuard().mayAbandonRun(task, worker))
            {
                cellState.crashGuard().onRunAbandoned(task, worker, effects);
                abandoned.add(new AbandonedRun(task.name(), task.run(), worker.id()));
                task.abandonRun();
            }
        }
    }
}
