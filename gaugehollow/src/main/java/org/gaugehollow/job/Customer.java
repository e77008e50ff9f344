/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import org.gaugehollow.model.ComputeResources;

/**
 * One of those who share a cell. Its keys are kept apart, so that they stand in no text that is
 * made of a customer.
 *
 * @param name the customer's name
 * @param weight its share once the cell is full; also how many of its jobs a second come before
 *            those that others send beyond their own weight
 * @param quota what it may have running on all workers together; an amount that is not limited is
 *            {@link #NO_LIMIT}
 */
public record Customer(String name, double weight, ComputeResources quota)
{
    /** An amount of a quota that is not limited. */
    public static final int NO_LIMIT = Integer.MAX_VALUE;
    /** A quota that limits nothing. */
    public static final ComputeResources UNLIMITED = new ComputeResources(NO_LIMIT, NO_LIMIT, NO_LIMIT,
            NO_LIMIT);
}
