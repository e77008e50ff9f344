/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.ComputeResources;

/** Scores a worker for a task by its total and free resources. */
@FunctionalInterface
public interface WorkerScore
{
    /**
     * @param capacity the worker's total resources
     * @param free the worker's free resources, at least the demand
     * @param demand the resources that the task needs
     * @return the score; lower is better
     */
    double score(ComputeResources capacity, ComputeResources free, ComputeResources demand);
}
