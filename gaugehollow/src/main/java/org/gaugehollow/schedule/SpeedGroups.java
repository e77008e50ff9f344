/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import org.gaugehollow.speed.SpeedRange;

/**
 * Orders the workers for a gang into groups. The members of a gang end together, as late as the
 * slowest, so a gang that is spread over workers of different speed wastes the faster ones.
 */
final class SpeedGroups
{
    private SpeedGroups()
    {
    }

    /**
     * Returns groups of workers, to be tried in order: workers of like speed that are fast enough, the
     * slowest such group first; all that are fast enough; workers of like speed that are too slow, the
     * fastest group first; all workers. Workers with failures are only in the last group.
     *
     * @param step the step of the gang
     * @param usable the workers that may run it
     */
    static List<List<TrackedWorker>> of(Step step, List<TrackedWorker> usable)
    {
        if (step.speedFit().isNeutral())
        {
            return List.of(usable);
        }
        Predicate<TrackedWorker> isTooSlow = step::isTooSlow;
        List<TrackedWorker> healthy = usable.stream().filter(worker -> !worker.health().hasFailures())
                .sorted(Comparator.comparingDouble(worker -> worker.speed().slowness())).toList();
        List<TrackedWorker> fitting = healthy.stream().filter(isTooSlow.negate()).toList();
        List<List<TrackedWorker>> groups = new ArrayList<>(ofLikeSpeed(fitting).reversed());
        groups.add(fitting);
        groups.addAll(ofLikeSpeed(healthy.stream().filter(isTooSlow).toList()));
        groups.add(usable);
        return groups;
    }

    /** Splits workers in ascending order of slowness into groups of like speed. */
    private static List<List<TrackedWorker>> ofLikeSpeed(List<TrackedWorker> ascending)
    {
        List<List<TrackedWorker>> groups = new ArrayList<>();
        for (TrackedWorker worker : ascending)
        {
            boolean isLike = !groups.isEmpty() && SpeedRange.isLike(worker.speed().slowness(),
                    groups.getLast().getFirst().speed().slowness());
            if (!isLike)
            {
                groups.add(new ArrayList<>());
            }
            groups.getLast().add(worker);
        }
        return groups;
    }
}
