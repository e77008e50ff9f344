/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * A team of callers.
 *
 * @param homeHall the hall that keeps the keys of its requests; it may not change
 * @param maxRunning how many of its requests may run at once on one box; 0 for no limit
 * @param weight its share when requests of several teams wait
 */
public record TeamSpec(String homeHall, int maxRunning, int weight)
{
    private static final int MOST = 1_000_000;

    /** Checks ranges and fills in the weight. */
    public TeamSpec
    {
        Checks.name(homeHall, "homeHall");
        weight = weight == 0 ? 1 : weight;
        Checks.range(maxRunning, 0, MOST, "maxRunning");
        Checks.range(weight, 1, MOST, "weight");
    }
}
