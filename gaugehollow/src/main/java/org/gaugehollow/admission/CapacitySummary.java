/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.urgency.Objective;

/** Sums up the workers of one service for a {@link BacklogAccount}. Not thread-safe. */
public final class CapacitySummary
{
    private final String service;
    private final List<ComputeResources> free = new ArrayList<>();
    private ComputeResources largestFree = ComputeResources.NONE;
    private long capacityCpuMillis;
    private long usedCpuMillis;
    private long endlessCpuMillis;
    private long claimedCpuMillis;
    private int claimingTasks;

    /** @param service the service */
    public CapacitySummary(String service)
    {
        this.service = service;
    }

    /**
     * Adds a worker on which tasks can be started.
     *
     * @param capacity its whole capacity
     * @param freeCapacity its free capacity
     */
    public void addWorker(ComputeResources capacity, ComputeResources freeCapacity)
    {
        capacityCpuMillis += Work.cpuMillis(capacity);
        largestFree = largestFree.max(freeCapacity);
        free.add(freeCapacity);
    }

    /**
     * Adds a task on a worker.
     *
     * @param needs what it uses
     * @param endless whether it runs until its job is cancelled and so never frees its capacity
     */
    public void addRun(ComputeResources needs, boolean endless)
    {
        usedCpuMillis += endless ? 0 : Work.cpuMillis(needs);
        endlessCpuMillis += endless ? Work.cpuMillis(needs) : 0;
    }

    /**
     * Adds tasks that will use free capacity as soon as they have advice.
     *
     * @param needs what each of them needs
     * @param tasks number of tasks
     */
    public void addClaims(ComputeResources needs, int tasks)
    {
        claimedCpuMillis += (long) needs.cpuMillis() * tasks;
        claimingTasks += tasks;
    }

    /**
     * @param completedPerSecond completed work, in core-milliseconds a second
     * @return the sums
     */
    public ServiceCapacity summarize(long completedPerSecond)
    {
        long typicalCpu = claimingTasks == 0 ? 0 : claimedCpuMillis / claimingTasks;
        long freeCpu = free.stream().mapToLong(ComputeResources::cpuMillis).filter(cpu -> cpu >= typicalCpu)
                .sum();
        return new ServiceCapacity(service, largestFree, freeCpu, claimedCpuMillis,
                drainPerSecond(completedPerSecond));
    }

    /**
     * Returns the rate at which work is completed. Few tasks have completed after a change of owner or
     * early in a flood; then the rate follows from what runs, if the estimates are too low by the
     * tolerated factor, or from the capacity if nothing runs.
     */
    private long drainPerSecond(long completedPerSecond)
    {
        long running = (long) (usedCpuMillis / Objective.ESTIMATE_TOLERANCE);
        long measured = Math.max(completedPerSecond, running);
        return measured > 0 ? measured : Math.max(0, capacityCpuMillis - endlessCpuMillis);
    }
}
