/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import org.gaugehollow.model.ComputeResources;

/**
 * What a worker's stand-in is.
 *
 * @param id its id
 * @param hall its hall
 * @param rack its rack
 * @param capacity what it holds
 * @param fencing whether it refuses starts of older owners
 */
public record WorkerStandinOptions(String id, String hall, String rack, ComputeResources capacity,
        boolean fencing)
{
}
