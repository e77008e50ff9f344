/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * Amounts of what a worker holds and a task needs.
 *
 * @param slots how many requests at once
 * @param cpuMillis thousandths of a processor
 * @param memoryMib memory in MiB
 * @param accelerators whole accelerators
 */
public record ComputeResources(int slots, int cpuMillis, int memoryMib, int accelerators)
{
    /** Nothing at all. */
    public static final ComputeResources NONE = new ComputeResources(0, 0, 0, 0);

    /** Checks that no amount is negative. */
    public ComputeResources
    {
        if (slots < 0 || cpuMillis < 0 || memoryMib < 0 || accelerators < 0)
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID, "amounts must not be negative");
        }
    }

    /**
     * @param other what is to be added
     * @return the sum
     */
    public ComputeResources plus(ComputeResources other)
    {
        return new ComputeResources(slots + other.slots, cpuMillis + other.cpuMillis,
                memoryMib + other.memoryMib, accelerators + other.accelerators);
    }

    /**
     * @param other what is taken away; it must fit
     * @return the rest
     */
    public ComputeResources minus(ComputeResources other)
    {
        return new ComputeResources(slots - other.slots, cpuMillis - other.cpuMillis,
                memoryMib - other.memoryMib, accelerators - other.accelerators);
    }

    /**
     * @param count how many times, not negative
     * @return that many times the amounts
     */
    public ComputeResources times(int count)
    {
        return new ComputeResources(slots * count, cpuMillis * count, memoryMib * count,
                accelerators * count);
    }

    /**
     * @param demand what a task needs
     * @return whether all of it is here
     */
    public boolean fits(ComputeResources demand)
    {
        return slots >= demand.slots && cpuMillis >= demand.cpuMillis && memoryMib >= demand.memoryMib
                && accelerators >= demand.accelerators;
    }

    /**
     * Takes away as much as there is, never below zero.
     *
     * @param other what is taken away
     * @return the rest
     */
    public ComputeResources minusClamped(ComputeResources other)
    {
        return new ComputeResources(Math.max(0, slots - other.slots),
                Math.max(0, cpuMillis - other.cpuMillis), Math.max(0, memoryMib - other.memoryMib),
                Math.max(0, accelerators - other.accelerators));
    }

    /**
     * @param other other amounts
     * @return of each amount, the larger one
     */
    public ComputeResources max(ComputeResources other)
    {
        return new ComputeResources(Math.max(slots, other.slots), Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMib, other.memoryMib), Math.max(accelerators, other.accelerators));
    }
}
