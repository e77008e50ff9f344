/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.ComputeResources;

/**
 * Best-fit score: prefers the worker with the fewest resources remaining after the placement.
 *
 * @param acceleratorReserve penalty for a worker with free accelerators if the task needs none
 * @param balanceWeight weight of the difference between the remaining fractions of CPU and memory,
 *            because later tasks can hardly use an uneven remainder
 * @param strandWeight penalty for each free accelerator that would be stranded: left without enough
 *            CPU and memory for a task that uses it
 */
public record PackingFirstScore(double acceleratorReserve, double balanceWeight,
        double strandWeight) implements WorkerScore
{
    /** CPU and memory that a task needs at least in addition to each accelerator. */
    private static final int MIN_CPU_MILLIS_PER_ACCELERATOR = 4_000;
    private static final int MIN_MEMORY_MIB_PER_ACCELERATOR = 8_192;

    @Override
    public double score(ComputeResources capacity, ComputeResources free, ComputeResources demand)
    {
        double slots = remainingFraction(capacity.slots(), free.slots(), demand.slots());
        double cpu = remainingFraction(capacity.cpuMillis(), free.cpuMillis(), demand.cpuMillis());
        double memory = remainingFraction(capacity.memoryMib(), free.memoryMib(), demand.memoryMib());
        double accelerators = remainingFraction(capacity.accelerators(), free.accelerators(),
                demand.accelerators());
        double remaining = slots + cpu + memory + accelerators;
        double imbalancePenalty = Math.abs(cpu - memory) * balanceWeight;
        boolean reserved = demand.accelerators() == 0 && free.accelerators() > 0;
        return remaining + imbalancePenalty + (reserved ? acceleratorReserve : 0)
                + strandWeight * additionalStranded(free, demand);
    }

    /** Returns the number of accelerators that the placement would strand. */
    private static int additionalStranded(ComputeResources free, ComputeResources demand)
    {
        if (free.accelerators() == 0)
        {
            return 0;
        }
        return strandedAccelerators(free.minus(demand)) - strandedAccelerators(free);
    }

    private static int strandedAccelerators(ComputeResources free)
    {
        int usableAccelerators = Math.min(free.cpuMillis() / MIN_CPU_MILLIS_PER_ACCELERATOR,
                free.memoryMib() / MIN_MEMORY_MIB_PER_ACCELERATOR);
        return Math.max(0, free.accelerators() - usableAccelerators);
    }

    private static double remainingFraction(int capacity, int free, int demand)
    {
        return capacity == 0 ? 0 : (free - demand) / (double) capacity;
    }
}
