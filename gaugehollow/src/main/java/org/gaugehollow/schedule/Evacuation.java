/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.worker.WorkerEntry;

/**
 * Takes tasks off workers that are about to leave: long-running ones at once, a few of each step at
 * a time, and others if they cannot end in the time that is left.
 */
final class Evacuation
{
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CellState ledger;

    Evacuation(CellState ledger)
    {
        this.ledger = ledger;
    }

    /** Stops what has to move now. */
    Effects evacuate(long nowNanos)
    {
        Effects effects = new Effects();
        for (TrackedWorker slot : ledger.workers())
        {
            WorkerEntry entry = slot.entry();
            if (entry != null && entry.draining())
            {
                slot.tasks().stream().filter(task -> mustMove(task, slot, nowNanos)).forEach(effects::stop);
            }
        }
        return effects;
    }

    private static boolean mustMove(Task task, TrackedWorker slot, long nowNanos)
    {
        if (task.phase() != Task.Phase.RUNNING || task.step().spec().gang())
        {
            return false;
        }
        if (task.step().spec().longRunning())
        {
            return task.step().countAway() < Math.max(1, task.step().spec().mayMiss());
        }
        long remaining = slot.entry().remainingMillis();
        if (remaining < 0)
        {
            return false;
        }
        long left = remaining - (nowNanos - slot.listedNanos()) / NANOS_PER_MILLI;
        return task.millisToEnd(nowNanos) > left;
    }
}
