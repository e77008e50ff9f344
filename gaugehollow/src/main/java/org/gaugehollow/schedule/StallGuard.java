/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * Stops stalled runs so that they continue on other workers: runs without progress for some time
 * and long-running tasks that do not reach full speed after their start. A gang member that has
 * finished its work is not stalled while other members progress, since a gang ends as a whole.
 */
final class StallGuard
{
    private static final long STALL_TIMEOUT_NANOS = 2_500_000_000L;
    private static final long START_TIMEOUT_NANOS = 5_000_000_000L;

    private final CellState cellState;

    StallGuard(CellState cellState)
    {
        this.cellState = cellState;
    }

    /** Stops the stalled runs on responsive workers. */
    Effects check(long nowNanos)
    {
        Effects effects = new Effects();
        for (TrackedWorker worker : cellState.workers())
        {
            if (worker.acceptsStarts() && nowNanos - worker.lastHeartbeatNanos() < STALL_TIMEOUT_NANOS / 2)
            {
                checkWorker(worker, nowNanos, effects);
            }
        }
        return effects;
    }

    private static void checkWorker(TrackedWorker worker, long nowNanos, Effects effects)
    {
        for (Task task : worker.tasks())
        {
            if (task.phase() == Task.Phase.RUNNING && isStalled(task, nowNanos))
            {
                worker.health().recordStall(nowNanos);
                stop(task, effects);
            }
        }
    }

    private static boolean isStalled(Task task, long nowNanos)
    {
        if (task.speedLimitPercent() < Task.FULL_PERCENT || task.step().spec().fills())
        {
            return false;
        }
        boolean isFinished = task.percent() >= Task.FULL_PERCENT;
        if (task.step().spec().longRunning())
        {
            return !isFinished && nowNanos - task.lastProgressNanos() > START_TIMEOUT_NANOS;
        }
        if (task.step().spec().gang() && isFinished)
        {
            return task.step().tasks().stream().allMatch(member -> hasNoProgress(member, nowNanos));
        }
        return hasNoProgress(task, nowNanos);
    }

    private static boolean hasNoProgress(Task task, long nowNanos)
    {
        return nowNanos - task.lastProgressNanos() > STALL_TIMEOUT_NANOS;
    }

    /** Stops a run, or the whole gang, since the other members could only wait. */
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
