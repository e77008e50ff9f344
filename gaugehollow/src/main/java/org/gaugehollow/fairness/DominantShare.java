/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.fairness;

import org.gaugehollow.model.ComputeResources;

/**
 * Compares compute resources of different kinds by the scarcest one. Answers loads in which some
 * tasks need mostly processors, and others mostly memory or accelerators.
 */
final class DominantShare
{
    private DominantShare()
    {
    }

    /**
     * Returns the largest fraction of the capacity that is used of any resource. A resource that the
     * capacity lacks is not counted.
     */
    static double of(ComputeResources used, ComputeResources capacity)
    {
        return Math.max(ratio(used.cpuMillis(), capacity.cpuMillis()),
                Math.max(ratio(used.memoryMib(), capacity.memoryMib()),
                        ratio(used.accelerators(), capacity.accelerators())));
    }

    private static double ratio(int amount, int total)
    {
        return total == 0 ? 0 : (double) amount / total;
    }
}
