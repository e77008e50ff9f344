/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.urgency.StopCosts;

/**
 * Capacity on workers that becomes free by itself about as soon as a stop would free it. Steps
 * claim it in the order in which they are planned, so that it is counted once. Guarded by the lock
 * of the cell state.
 */
final class SoonFreeCapacity
{
    private final StopCosts stopCosts;
    private final long nowNanos;
    private final Map<TrackedWorker, ComputeResources> unclaimed = new HashMap<>();

    SoonFreeCapacity(StopCosts stopCosts, long nowNanos)
    {
        this.stopCosts = stopCosts;
        this.nowNanos = nowNanos;
    }

    /**
     * Claims capacity for tasks of a step.
     *
     * @param step the step
     * @param allowed the workers that may run it
     * @param wanted the number of tasks
     * @return the number of tasks that find capacity without a stop, at most the wanted number
     */
    int claim(Step step, Collection<TrackedWorker> allowed, int wanted)
    {
        int claimed = 0;
        for (TrackedWorker worker : allowed)
        {
            int onWorker = 0;
            ComputeResources left = unclaimed.computeIfAbsent(worker, this::soonFree);
            while (claimed < wanted && left.fits(step.needs()) && step.canAddTo(worker, onWorker + 1))
            {
                left = left.minusClamped(step.needs());
                onWorker++;
                claimed++;
            }
            unclaimed.put(worker, left);
        }
        return claimed;
    }

    /** Returns the capacity of runs that end soon, or of no worker if none does. */
    private ComputeResources soonFree(TrackedWorker worker)
    {
        ComputeResources ending = ComputeResources.NONE;
        for (Task task : worker.tasks())
        {
            boolean endsBeforeStop = task.phase() == Task.Phase.RUNNING && !task.step().spec().longRunning()
                    && stopCosts.endsBeforeStop(task.remainingMillis(nowNanos));
            ending = endsBeforeStop ? ending.plus(task.step().needs()) : ending;
        }
        return ending.equals(ComputeResources.NONE) ? ending : ending.plus(worker.free());
    }
}
