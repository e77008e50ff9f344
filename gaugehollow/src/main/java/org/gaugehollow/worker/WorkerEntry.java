/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.Set;

import org.gaugehollow.model.ComputeResources;

/**
 * A worker as listed by the platform.
 *
 * @param incarnation incarnation that wrote the entry
 * @param service service that the worker belongs to
 * @param address address for commands, as IP address and port
 * @param hall data hall of the worker
 * @param draining whether the worker is about to leave
 * @param remainingMillis minimum time until it leaves in milliseconds; negative if unknown
 * @param capacity total compute resources
 * @param labels labels, including the rack
 * @param rack rack of the worker, or an empty string
 */
public record WorkerEntry(WorkerIncarnation incarnation, String service, String address, String hall,
        boolean draining, long remainingMillis, ComputeResources capacity, Set<String> labels, String rack)
{
}
