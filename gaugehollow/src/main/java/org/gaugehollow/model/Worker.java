/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * An upstream of the hall that runs tasks, as the platform's list describes it.
 *
 * @param id its name
 * @param address IP number and port
 * @param hall its data hall
 * @param rack its rack
 * @param capacity what it holds
 * @param leaving whether the list says that it is leaving
 */
public record Worker(String id, String address, String hall, String rack, ComputeResources capacity,
        boolean leaving)
{
}
