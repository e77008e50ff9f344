/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Optional;

import org.gaugehollow.model.ComputeResources;

/** Policy that chooses the worker with the lowest score; ties go to the lowest id. */
public final class ScoredPolicy implements PlacementPolicy
{
    private final WorkerScore score;

    /**
     * @param score the score function
     */
    public ScoredPolicy(WorkerScore score)
    {
        this.score = score;
    }

    @Override
    public Optional<String> choose(WorkerIndex index, ComputeResources demand)
    {
        String best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (WorkerIndex.State state : index.states())
        {
            if (!state.free().fits(demand))
            {
                continue;
            }
            double candidateScore = score.score(state.capacity(), state.free(), demand);
            if (best == null || candidateScore < bestScore)
            {
                bestScore = candidateScore;
                best = index.firstWorkerIn(state);
            }
            else if (candidateScore == bestScore)
            {
                String candidate = index.firstWorkerIn(state);
                best = candidate.compareTo(best) < 0 ? candidate : best;
            }
        }
        return Optional.ofNullable(best);
    }
}
