/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;

import org.gaugehollow.model.ComputeResources;

/** Baseline policy that chooses the next worker by id with enough free resources. */
public final class RoundRobinPolicy implements PlacementPolicy
{
    private String lastWorker = "";

    @Override
    public Optional<String> choose(WorkerIndex index, ComputeResources demand)
    {
        NavigableMap<String, WorkerIndex.State> workers = index.workers();
        Optional<String> found = firstFit(workers.tailMap(lastWorker, false), demand)
                .or(() -> firstFit(workers.headMap(lastWorker, true), demand));
        found.ifPresent(worker -> lastWorker = worker);
        return found;
    }

    static Optional<String> firstFit(Map<String, WorkerIndex.State> workers, ComputeResources demand)
    {
        return workers.entrySet().stream().filter(e -> e.getValue().free().fits(demand))
                .map(Map.Entry::getKey).findFirst();
    }
}
