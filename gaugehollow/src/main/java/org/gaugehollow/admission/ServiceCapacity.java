/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import org.gaugehollow.model.ComputeResources;

/**
 * The capacity of a service's workers, and how fast it becomes free.
 *
 * @param service the service
 * @param largestFree the largest free capacity of a worker, for each resource
 * @param freeCpuMillis total free CPU of the workers that have room for a waiting task, in
 *            thousandths of a core
 * @param claimedCpuMillis CPU of the tasks that wait only for advice and will use this capacity
 * @param drainPerSecond work that is completed, in core-milliseconds a second; 0 if unknown
 */
public record ServiceCapacity(String service, ComputeResources largestFree, long freeCpuMillis,
        long claimedCpuMillis, long drainPerSecond)
{
    /**
     * Returns whether a task can start now.
     *
     * @param needs compute resources of the task
     * @param otherClaims CPU of tasks that claim free capacity but are not contained in
     *            {@link #claimedCpuMillis}, in thousandths of a core
     */
    boolean hasRoomFor(ComputeResources needs, long otherClaims)
    {
        boolean isUnclaimed = freeCpuMillis - claimedCpuMillis - otherClaims >= needs.cpuMillis();
        return largestFree.fits(needs) && (needs.cpuMillis() == 0 || isUnclaimed);
    }
}
