/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import org.gaugehollow.model.ComputeResources;

/**
 * A customer of a cell. Holds no keys, so that they don't appear in {@link #toString}.
 *
 * @param name the customer's name
 * @param weight the customer's weight for sharing a full cell; also the rate of its jobs, per
 *            second, that take precedence over jobs that other customers submit beyond their weight
 * @param quota maximum resources of the customer's running tasks on all workers; unlimited
 *            components are {@link #NO_LIMIT}
 */
public record Customer(String name, double weight, ComputeResources quota)
{
    /** Value of a quota component that is not limited. */
    public static final int NO_LIMIT = Integer.MAX_VALUE;
    /** A quota without limits. */
    public static final ComputeResources UNLIMITED = new ComputeResources(NO_LIMIT, NO_LIMIT, NO_LIMIT,
            NO_LIMIT);
}
