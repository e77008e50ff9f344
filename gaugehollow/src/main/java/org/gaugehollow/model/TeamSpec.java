/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * A team of callers.
 *
 * @param homeHall data hall that keeps the keys of the team's requests; immutable
 * @param maxRunning maximum number of the team's concurrent requests on one box; 0 for no limit
 * @param weight relative share when requests of several teams wait
 */
public record TeamSpec(String homeHall, int maxRunning, int weight)
{
    private static final int MAX_VALUE = 1_000_000;

    /** Checks ranges and sets the default weight. */
    public TeamSpec
    {
        Checks.name(homeHall, "homeHall");
        weight = weight == 0 ? 1 : weight;
        Checks.range(maxRunning, 0, MAX_VALUE, "maxRunning");
        Checks.range(weight, 1, MAX_VALUE, "weight");
    }
}
