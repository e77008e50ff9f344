/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gaugehollow.model.ComputeResources;

/** Baseline policy that chooses a random worker among those with enough free resources. */
public final class RandomPolicy implements PlacementPolicy
{
    private final UniformRandomProvider random;

    /**
     * @param seed the seed of the random number generator
     */
    public RandomPolicy(long seed)
    {
        random = RandomSource.XO_SHI_RO_128_PP.create(seed);
    }

    @Override
    public Optional<String> choose(WorkerIndex index, ComputeResources demand)
    {
        List<String> candidates = index.workers().entrySet().stream()
                .filter(e -> e.getValue().free().fits(demand)).map(Map.Entry::getKey).toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }
}
