/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import org.gaugehollow.model.ComputeResources;

/**
 * Options of a worker stand-in.
 *
 * @param id worker id
 * @param hall data hall
 * @param rack rack name
 * @param capacity total compute resources
 * @param fencing whether starts from older owners are rejected
 */
public record WorkerStandinOptions(String id, String hall, String rack, ComputeResources capacity,
        boolean fencing)
{
}
