/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WorkerScore;

/**
 * Rates workers for a task: by their load, and by what speaks against them, in parts of a full
 * load.
 */
final class WorkerRating
{
    private static final double AFFINITY_WEIGHT = 0.6;
    private static final double DISTURBANCE_WEIGHT = 1.5;
    private static final double FAILURE_WEIGHT = 2;
    private static final double UNPROVEN_WEIGHT = 3;
    private static final double AVOIDED_WEIGHT = 100;
    /** What a whole worker full of work speaks against trying a suspect there. */
    private static final double AT_STAKE_WEIGHT = 3;

    private final WorkerScore score;

    WorkerRating(WorkerScore score)
    {
        this.score = score;
    }

    /**
     * @param task a task
     * @param slot a worker that has room for it
     * @param already how many tasks of the same step are to be placed there before it
     * @param nowNanos the monotonic clock
     * @return the rating; lower is better
     */
    double rating(Task task, TrackedWorker slot, int already, long nowNanos)
    {
        StepSpec spec = task.step().spec();
        ComputeResources needs = spec.needs();
        double rating = score.score(slot.entry().capacity(), slot.free().minus(needs.times(already)), needs);
        rating += slot.health().isAvoided(nowNanos) ? AVOIDED_WEIGHT : 0;
        rating += slot.health().hasFailures() ? FAILURE_WEIGHT : 0;
        rating += task.failures() > 0 && !slot.health().isProven() ? UNPROVEN_WEIGHT : 0;
        rating += task.hasFailedOn(slot) ? UNPROVEN_WEIGHT : 0;
        rating += task.isSuspect() ? AT_STAKE_WEIGHT * atStake(slot) : 0;
        boolean far = spec.affinity() != null && !spec.affinity().isEmpty()
                && !slot.entry().labels().contains(spec.affinity());
        rating += far ? AFFINITY_WEIGHT : 0;
        rating += spec.rackLocal() && !sharesRack(task.step(), slot) ? AFFINITY_WEIGHT : 0;
        rating += disturbs(spec, slot) ? DISTURBANCE_WEIGHT : 0;
        return rating;
    }

    /**
     * What a crash of a worker would cost: the part of it that is at work, and one more where something
     * has just begun, of which a crash could not be told apart.
     */
    private static double atStake(TrackedWorker slot)
    {
        int capacity = Math.max(1, slot.entry().capacity().cpuMillis());
        double used = (double) slot.used().cpuMillis() / capacity;
        boolean hasBegun = slot.tasks().stream()
                .anyMatch(task -> task.seenMillis() < CrashGuard.TRIAL_MILLIS);
        return used + (hasBegun ? 1 : 0);
    }

    private static boolean sharesRack(Step step, TrackedWorker slot)
    {
        return step.tasks().stream().filter(Task::occupies).allMatch(other -> other.worker().entry() != null
                && other.worker().entry().rack().equals(slot.entry().rack()));
    }

    /** Whether tasks that fill and tasks that serve would share the worker. */
    private static boolean disturbs(StepSpec spec, TrackedWorker slot)
    {
        if (!spec.fills() && spec.targetMillis() == 0)
        {
            return false;
        }
        for (Task other : slot.tasks())
        {
            StepSpec otherSpec = other.step().spec();
            if (spec.fills() ? otherSpec.targetMillis() > 0 : otherSpec.fills())
            {
                return true;
            }
        }
        return false;
    }
}
