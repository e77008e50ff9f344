/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.ComputeResources;

/**
 * Rates the worker best that has least left after the task, for work whose packing counts most.
 *
 * @param acceleratorReserve what is added for a worker with free accelerators when the task needs
 *            none
 * @param balanceWeight how much an uneven rest of processors and memory counts, since an uneven
 *            rest is what later tasks cannot use
 * @param strandWeight what is added for each free accelerator that would be left without enough
 *            processors and memory for a task that uses it
 */
public record PackingFirstScore(double acceleratorReserve, double balanceWeight,
        double strandWeight) implements WorkerScore
{
    /** What a task that uses an accelerator needs beside it, at the least. */
    private static final int CPU_MILLIS_BESIDE = 4_000;
    private static final int MEMORY_MIB_BESIDE = 8_192;

    @Override
    public double score(ComputeResources capacity, ComputeResources free, ComputeResources demand)
    {
        double slots = rest(capacity.slots(), free.slots(), demand.slots());
        double cpu = rest(capacity.cpuMillis(), free.cpuMillis(), demand.cpuMillis());
        double memory = rest(capacity.memoryMib(), free.memoryMib(), demand.memoryMib());
        double accelerators = rest(capacity.accelerators(), free.accelerators(), demand.accelerators());
        double left = slots + cpu + memory + accelerators;
        double uneven = Math.abs(cpu - memory) * balanceWeight;
        boolean reserved = demand.accelerators() == 0 && free.accelerators() > 0;
        return left + uneven + (reserved ? acceleratorReserve : 0) + strandWeight * strandedBy(free, demand);
    }

    /** How many more accelerators would be stranded with the task than are without it. */
    private static int strandedBy(ComputeResources free, ComputeResources demand)
    {
        if (free.accelerators() == 0)
        {
            return 0;
        }
        return stranded(free.minus(demand)) - stranded(free);
    }

    private static int stranded(ComputeResources free)
    {
        int usable = Math.min(free.cpuMillis() / CPU_MILLIS_BESIDE, free.memoryMib() / MEMORY_MIB_BESIDE);
        return Math.max(0, free.accelerators() - usable);
    }

    private static double rest(int capacity, int free, int demand)
    {
        return capacity == 0 ? 0 : (free - demand) / (double) capacity;
    }
}
