/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;

import org.gaugehollow.model.ComputeResources;

/**
 * Limits the number of tasks for which advice is requested in one planning round, so that a long
 * queue requests no more advice than the workers can use.
 */
final class AdviceBudget
{
    /** Allows no requests. */
    static final AdviceBudget NONE = new AdviceBudget(ComputeResources.NONE, ComputeResources.NONE);

    private ComputeResources free;
    private ComputeResources capacity;

    private AdviceBudget(ComputeResources free, ComputeResources capacity)
    {
        this.free = free;
        this.capacity = capacity;
    }

    /** Returns a budget from the free and total capacity of workers that accept tasks. */
    static AdviceBudget of(Collection<TrackedWorker> workers)
    {
        ComputeResources free = ComputeResources.NONE;
        ComputeResources capacity = ComputeResources.NONE;
        for (TrackedWorker worker : workers)
        {
            free = free.plus(worker.free());
            capacity = capacity.plus(worker.entry().capacity());
        }
        return new AdviceBudget(free, capacity);
    }

    /**
     * Returns whether a step may request advice for tasks that could start now, and consumes its share.
     */
    boolean acquireForFreeCapacity(Step step)
    {
        boolean fits = free.fits(step.needs());
        free = fits ? free.minusClamped(waitingNeeds(step)) : free;
        return fits;
    }

    /**
     * Returns whether a step may request advice for capacity that is freed later, and consumes its
     * share.
     */
    boolean acquireForPrefetch(Step step)
    {
        return acquireForPrefetch(step, step.waitingTasks().size());
    }

    /**
     * Returns whether a step may request advice before its tasks can start, and consumes its share.
     *
     * @param step the step
     * @param taskCount the number of its tasks that start later
     */
    boolean acquireForPrefetch(Step step, int taskCount)
    {
        boolean fits = capacity.fits(step.needs());
        capacity = fits ? capacity.minusClamped(step.needs().times(taskCount)) : capacity;
        return fits;
    }

    private static ComputeResources waitingNeeds(Step step)
    {
        return step.needs().times(step.waitingTasks().size());
    }
}
