/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WorkerScore;

/**
 * Rates workers for a task by load, health, speed and placement preferences. One unit corresponds
 * to a fully loaded worker.
 */
final class WorkerRating
{
    private static final double AFFINITY_WEIGHT = 0.6;
    private static final double INTERFERENCE_WEIGHT = 1.5;
    private static final double FAILURE_WEIGHT = 2;
    private static final double UNPROVEN_WEIGHT = 3;
    private static final double AVOIDED_WEIGHT = 100;
    /** Penalty for running a suspect on a fully used worker. */
    private static final double CRASH_COST_WEIGHT = 3;

    private final WorkerScore score;

    WorkerRating(WorkerScore score)
    {
        this.score = score;
    }

    /**
     * Returns the rating of a worker for a task.
     *
     * @param task a task
     * @param worker a worker with free capacity for it
     * @param alreadyPlaced the number of tasks of the same step to place there before it
     * @param nowNanos the monotonic time, in nanoseconds
     * @return the rating; lower is better
     */
    double rating(Task task, TrackedWorker worker, int alreadyPlaced, long nowNanos)
    {
        StepSpec spec = task.step().spec();
        ComputeResources needs = spec.needs();
        double rating = score.score(worker.entry().capacity(),
                worker.free().minus(needs.times(alreadyPlaced)), needs);
        rating += worker.health().isAvoided(nowNanos) ? AVOIDED_WEIGHT : 0;
        rating += worker.health().hasFailures() ? FAILURE_WEIGHT : 0;
        rating += task.step().failuresOf(task) > 0 && !worker.health().isProven() ? UNPROVEN_WEIGHT : 0;
        rating += task.hasFailedOn(worker) ? UNPROVEN_WEIGHT : 0;
        rating += task.isSuspect() ? CRASH_COST_WEIGHT * crashCost(worker) : 0;
        boolean lacksAffinity = task.step().lacksAffinity(worker.entry());
        rating += lacksAffinity ? AFFINITY_WEIGHT : 0;
        rating += task.step().speedFit().rating(worker.speed(), lacksAffinity);
        rating += spec.rackLocal() && !sharesRack(task.step(), worker) ? AFFINITY_WEIGHT : 0;
        rating += interferes(spec, worker) ? INTERFERENCE_WEIGHT : 0;
        return rating;
    }

    /**
     * Returns the cost of a crash of the worker: the share of its capacity in use, plus one if a run
     * has just started there, because a crash could then not be attributed to a single task.
     */
    private static double crashCost(TrackedWorker worker)
    {
        int capacity = Math.max(1, worker.entry().capacity().cpuMillis());
        double used = (double) worker.used().cpuMillis() / capacity;
        boolean hasRecentStart = worker.tasks().stream()
                .anyMatch(task -> task.observedMillis() < CrashGuard.STARTUP_MILLIS);
        return used + (hasRecentStart ? 1 : 0);
    }

    private static boolean sharesRack(Step step, TrackedWorker worker)
    {
        return step.tasks().stream().filter(Task::isOnWorker).allMatch(other -> other.worker().entry() != null
                && other.worker().entry().rack().equals(worker.entry().rack()));
    }

    /** Returns whether the step would make best-effort tasks and serving tasks share the worker. */
    private static boolean interferes(StepSpec spec, TrackedWorker worker)
    {
        if (!spec.fills() && spec.targetMillis() == 0)
        {
            return false;
        }
        for (Task other : worker.tasks())
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
