/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.Amounts;

/**
 * Rates the worker best that has least left after the task, for work whose packing counts most.
 *
 * @param acceleratorReserve what is added for a worker with free accelerators when the task needs
 *            none
 * @param balanceWeight how much an uneven rest of processors and memory counts, since an uneven
 *            rest is what later tasks cannot use
 */
public record PackingFirstScore(double acceleratorReserve, double balanceWeight) implements WorkerScore
{
    @Override
    public double score(Amounts capacity, Amounts free, Amounts demand)
    {
        double slots = rest(capacity.slots(), free.slots(), demand.slots());
        double cpu = rest(capacity.cpuMillis(), free.cpuMillis(), demand.cpuMillis());
        double memory = rest(capacity.memoryMib(), free.memoryMib(), demand.memoryMib());
        double accelerators = rest(capacity.accelerators(), free.accelerators(), demand.accelerators());
        double left = slots + cpu + memory + accelerators;
        double uneven = Math.abs(cpu - memory) * balanceWeight;
        boolean reserved = demand.accelerators() == 0 && free.accelerators() > 0;
        return left + uneven + (reserved ? acceleratorReserve : 0);
    }

    private static double rest(int capacity, int free, int demand)
    {
        return capacity == 0 ? 0 : (free - demand) / (double) capacity;
    }
}
