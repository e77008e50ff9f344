/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.gaugehollow.model.ComputeResources;

/** Reference implementation of {@link ScoredPolicy} that scores every worker for every task. */
final class NaivePlacement
{
    private final Map<String, WorkerIndex.State> workers = new TreeMap<>();
    private final WorkerScore score;

    NaivePlacement(WorkerScore score)
    {
        this.score = score;
    }

    void put(String worker, ComputeResources capacity, ComputeResources free)
    {
        workers.put(worker, new WorkerIndex.State(capacity, free));
    }

    void remove(String worker)
    {
        workers.remove(worker);
    }

    Optional<String> choose(ComputeResources demand)
    {
        String best = null;
        double bestScore = 0;
        for (Map.Entry<String, WorkerIndex.State> worker : workers.entrySet())
        {
            WorkerIndex.State state = worker.getValue();
            if (state.free().fits(demand))
            {
                double candidateScore = score.score(state.capacity(), state.free(), demand);
                if (best == null || candidateScore < bestScore)
                {
                    best = worker.getKey();
                    bestScore = candidateScore;
                }
            }
        }
        return Optional.ofNullable(best);
    }
}
