/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * An upstream of a data hall that runs tasks, as described by the platform's worker list.
 *
 * @param id worker id
 * @param address IP address and port
 * @param hall data hall
 * @param rack rack
 * @param capacity total compute resources
 * @param leaving whether the worker is marked as leaving
 */
public record Worker(String id, String address, String hall, String rack, ComputeResources capacity,
        boolean leaving)
{
}
