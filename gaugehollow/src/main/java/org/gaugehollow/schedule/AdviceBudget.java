/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;

import org.gaugehollow.model.ComputeResources;

/**
 * For how many tasks advice is asked for in one round of decisions, so that a long queue does not
 * ask for more than workers can take.
 */
final class AdviceBudget
{
    /** Asks for nothing. */
    static final AdviceBudget NONE = new AdviceBudget(ComputeResources.NONE, ComputeResources.NONE);

    private ComputeResources free;
    private ComputeResources held;

    private AdviceBudget(ComputeResources free, ComputeResources held)
    {
        this.free = free;
        this.held = held;
    }

    /** What workers that accept tasks have free, and what they hold in all. */
    static AdviceBudget of(Collection<TrackedWorker> workers)
    {
        ComputeResources free = ComputeResources.NONE;
        ComputeResources held = ComputeResources.NONE;
        for (TrackedWorker slot : workers)
        {
            free = free.plus(slot.free());
            held = held.plus(slot.entry().capacity());
        }
        return new AdviceBudget(free, held);
    }

    /** Whether a step may ask because its tasks could start now. */
    boolean acquireForFreeCapacity(Step step)
    {
        boolean fits = free.fits(step.needs());
        free = fits ? free.minusClamped(ofWaiting(step)) : free;
        return fits;
    }

    /** Whether a step may ask ahead of room that is to come. */
    boolean acquireForPrefetch(Step step)
    {
        boolean fits = held.fits(step.needs());
        held = fits ? held.minusClamped(ofWaiting(step)) : held;
        return fits;
    }

    private static ComputeResources ofWaiting(Step step)
    {
        return step.needs().times(step.waiting().size());
    }
}
