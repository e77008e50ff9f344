/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * Finds runs that stand still and moves them to other workers: a task whose progress has not
 * changed for a while, and a long-running one that does not get to work after its start.
 */
final class StallGuard
{
    private static final long STALL_NANOS = 2_500_000_000L;
    private static final long START_NANOS = 5_000_000_000L;

    private final CellState ledger;

    StallGuard(CellState ledger)
    {
        this.ledger = ledger;
    }

    /** Stops the runs that stand still on workers that answer. */
    Effects check(long nowNanos)
    {
        Effects effects = new Effects();
        for (TrackedWorker slot : ledger.workers())
        {
            if (slot.acceptsStarts() && nowNanos - slot.lastHeartbeatNanos() < STALL_NANOS / 2)
            {
                checkWorker(slot, nowNanos, effects);
            }
        }
        return effects;
    }

    private static void checkWorker(TrackedWorker slot, long nowNanos, Effects effects)
    {
        for (Task task : slot.tasks())
        {
            if (task.phase() == Task.Phase.RUNNING && standsStill(task, nowNanos))
            {
                slot.health().recordStall(nowNanos);
                stop(task, effects);
            }
        }
    }

    private static boolean standsStill(Task task, long nowNanos)
    {
        if (task.speedLimitPercent() < Task.WHOLE || task.step().spec().fills())
        {
            return false;
        }
        long still = nowNanos - task.lastProgressNanos();
        return task.step().spec().longRunning()
                ? task.percent() < Task.WHOLE && still > START_NANOS
                : still > STALL_NANOS;
    }

    /** A gang is stopped whole: its other members would only wait. */
    private static void stop(Task task, Effects effects)
    {
        if (task.step().spec().gang())
        {
            task.step().stopAll(effects);
        }
        else
        {
            effects.stop(task);
        }
    }
}
