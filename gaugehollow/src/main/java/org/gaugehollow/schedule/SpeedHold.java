/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a step waits a moment for a worker that is fast enough, although a slow one has
 * capacity. Answers the load of tight work while the fast workers are full: a run of theirs often
 * ends sooner than the slow worker would take longer. Guarded by the lock of the cell state.
 */
final class SpeedHold
{
    /**
     * Maximum time for which a step waits in all. Far below the time for which the users allow free
     * capacity to stay unused, and about the time that a task of tight work takes.
     */
    static final long MAX_HOLD_MILLIS = 400;

    /**
     * Maximum number of steps that wait at a time; bounds the time of a plan and the capacity left
     * unused.
     */
    static final int MAX_STEPS = 16;

    private SpeedHold()
    {
    }

    /**
     * Returns whether the step is to wait. Marks the beginning of its wait.
     *
     * @param step a step whose best worker is too slow
     * @param eligible the workers that may run it, regardless of their free capacity
     * @param nowNanos the monotonic time
     */
    static boolean holds(Step step, Collection<TrackedWorker> eligible, long nowNanos)
    {
        long heldMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - step.holdSince(nowNanos));
        long leftMillis = Math.min(MAX_HOLD_MILLIS - heldMillis, step.speedFit().spareMillis());
        if (leftMillis <= 0)
        {
            return false;
        }
        return eligible.stream().filter(worker -> !step.isTooSlow(worker) && step.canAddTo(worker, 1))
                .anyMatch(worker -> freesCapacity(worker, step, leftMillis, nowNanos));
    }

    /** Returns whether the end of a run will give the worker capacity for a task within the time. */
    private static boolean freesCapacity(TrackedWorker worker, Step step, long millis, long nowNanos)
    {
        return worker.tasks().stream()
                .anyMatch(task -> task.phase() == Task.Phase.RUNNING && !task.step().spec().longRunning()
                        && task.remainingMillis(nowNanos) <= millis
                        && worker.free().plus(task.step().needs()).fits(step.needs()));
    }
}
