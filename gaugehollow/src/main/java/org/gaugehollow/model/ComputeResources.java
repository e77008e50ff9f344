/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * Compute resources that a worker offers or a task needs.
 *
 * @param slots number of concurrent requests
 * @param cpuMillis CPU in thousandths of a processor
 * @param memoryMib memory in MiB
 * @param accelerators number of accelerators
 */
public record ComputeResources(int slots, int cpuMillis, int memoryMib, int accelerators)
{
    /** No resources. */
    public static final ComputeResources NONE = new ComputeResources(0, 0, 0, 0);

    /** Checks that no component is negative. */
    public ComputeResources
    {
        if (slots < 0 || cpuMillis < 0 || memoryMib < 0 || accelerators < 0)
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID,
                    "compute resources must not be negative");
        }
    }

    /**
     * @param other resources to add
     * @return the sum
     */
    public ComputeResources plus(ComputeResources other)
    {
        return new ComputeResources(slots + other.slots, cpuMillis + other.cpuMillis,
                memoryMib + other.memoryMib, accelerators + other.accelerators);
    }

    /**
     * @param other resources to subtract; must not exceed these
     * @return the difference
     */
    public ComputeResources minus(ComputeResources other)
    {
        return new ComputeResources(slots - other.slots, cpuMillis - other.cpuMillis,
                memoryMib - other.memoryMib, accelerators - other.accelerators);
    }

    /**
     * @param count factor, not negative
     * @return the resources multiplied by the factor
     */
    public ComputeResources times(int count)
    {
        return new ComputeResources(slots * count, cpuMillis * count, memoryMib * count,
                accelerators * count);
    }

    /**
     * @param demand resources that a task needs
     * @return whether these resources cover the demand
     */
    public boolean fits(ComputeResources demand)
    {
        return slots >= demand.slots && cpuMillis >= demand.cpuMillis && memoryMib >= demand.memoryMib
                && accelerators >= demand.accelerators;
    }

    /**
     * Subtracts resources; no component of the result falls below zero.
     *
     * @param other resources to subtract
     * @return the difference
     */
    public ComputeResources minusClamped(ComputeResources other)
    {
        return new ComputeResources(Math.max(0, slots - other.slots),
                Math.max(0, cpuMillis - other.cpuMillis), Math.max(0, memoryMib - other.memoryMib),
                Math.max(0, accelerators - other.accelerators));
    }

    /**
     * @param other resources to compare with
     * @return the larger value of each component
     */
    public ComputeResources max(ComputeResources other)
    {
        return new ComputeResources(Math.max(slots, other.slots), Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMib, other.memoryMib), Math.max(accelerators, other.accelerators));
    }
}
