/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.ComputeResources;

/**
 * Least-loaded score: prefers the worker with the lowest load, to keep waiting times short. Load is
 * the highest used fraction of slots, CPU and memory after the placement.
 *
 * @param acceleratorReserve load added for a worker with free accelerators if the task needs none
 */
public record WaitingFirstScore(double acceleratorReserve) implements WorkerScore
{
    @Override
    public double score(ComputeResources capacity, ComputeResources free, ComputeResources demand)
    {
        double slots = usedFraction(capacity.slots(), free.slots(), demand.slots());
        double cpu = usedFraction(capacity.cpuMillis(), free.cpuMillis(), demand.cpuMillis());
        double memory = usedFraction(capacity.memoryMib(), free.memoryMib(), demand.memoryMib());
        double load = Math.max(slots, Math.max(cpu, memory));
        boolean reserved = demand.accelerators() == 0 && free.accelerators() > 0;
        return reserved ? load + acceleratorReserve : load;
    }

    private static double usedFraction(int capacity, int free, int demand)
    {
        return capacity == 0 ? 0 : (capacity - free + demand) / (double) capacity;
    }
}
