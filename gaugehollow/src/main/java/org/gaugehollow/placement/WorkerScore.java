/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.ComputeResources;

/** Rates a worker for a task from what it holds and has free. The lowest score wins. */
@FunctionalInterface
public interface WorkerScore
{
    /**
     * @param capacity what the worker holds
     * @param free what it has free, at least the demand
     * @param demand what the task needs
     * @return the score; lower is better
     */
    double score(ComputeResources capacity, ComputeResources free, ComputeResources demand);
}
