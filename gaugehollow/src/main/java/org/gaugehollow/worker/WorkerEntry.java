/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.Set;

import org.gaugehollow.model.ComputeResources;

/**
 * A worker as the platform lists it.
 *
 * @param incarnation the life that wrote the entry
 * @param service the service it belongs to
 * @param address where it takes orders, IP number and port
 * @param hall the data hall
 * @param draining whether it is about to leave
 * @param remainingMillis the least time until it leaves, in milliseconds; negative if unknown
 * @param capacity what it holds
 * @param labels its labels, the rack among them
 * @param rack the rack it stands in, or an empty text
 */
public record WorkerEntry(WorkerIncarnation incarnation, String service, String address, String hall,
        boolean draining, long remainingMillis, ComputeResources capacity, Set<String> labels, String rack)
{
}
