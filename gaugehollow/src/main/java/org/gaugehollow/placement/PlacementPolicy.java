/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Optional;

import org.gaugehollow.model.ComputeResources;

/**
 * Picks the worker for a task. Called under the engine's lock, so it must neither block nor call
 * back.
 */
@FunctionalInterface
public interface PlacementPolicy
{
    /**
     * Picks a worker among those with room.
     *
     * @param index the workers that may get work
     * @param demand what the task needs
     * @return the worker's id, or empty where none has room
     */
    Optional<String> choose(WorkerIndex index, ComputeResources demand);
}
