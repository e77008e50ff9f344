/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.worker.WorkerEntry;

/**
 * Moves tasks off draining workers: long-running tasks at once, limited per step, and other tasks
 * if they cannot end in the remaining time.
 */
final class Evacuation
{
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CellState cellState;

    Evacuation(CellState cellState)
    {
        this.cellState = cellState;
    }

    /** Stops the runs that must move now. */
    Effects evacuate(long nowNanos)
    {
        Effects effects = new Effects();
        for (TrackedWorker worker : cellState.workers())
        {
            WorkerEntry entry = worker.entry();
            if (entry != null && entry.draining())
            {
                worker.tasks().stream().filter(task -> mustMove(task, worker, nowNanos))
                        .forEach(effects::stop);
            }
        }
        return effects;
    }

    private static boolean mustMove(Task task, TrackedWorker worker, long nowNanos)
    {
        if (task.phase() != Task.Phase.RUNNING || task.step().spec().gang())
        {
            return false;
        }
        if (task.step().spec().longRunning())
        {
            return task.step().countNotRunning() < Math.max(1, task.step().spec().mayMiss());
        }
        long remainingMillis = worker.entry().remainingMillis();
        if (remainingMillis < 0)
        {
            return false;
        }
        long leftMillis = remainingMillis - (nowNanos - worker.listedNanos()) / NANOS_PER_MILLI;
        return task.remainingMillis(nowNanos) > leftMillis;
    }
}
