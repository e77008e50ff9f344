/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Optional;

import org.gaugehollow.model.ComputeResources;

/**
 * Chooses the worker for a task. Called under the engine's lock, so implementations must neither
 * block nor call the engine.
 */
@FunctionalInterface
public interface PlacementPolicy
{
    /**
     * Chooses a worker with enough free resources.
     *
     * @param index the workers that accept tasks
     * @param demand the resources that the task needs
     * @return the worker's id, or empty if no worker has enough free resources
     */
    Optional<String> choose(WorkerIndex index, ComputeResources demand);
}
