/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.gaugehollow.model.ComputeResources;

/**
 * Selects the workers for an advice call. Workers with free capacity come first, among them those
 * that are fast enough for the step, the slowest of these first, in an order specific to the step
 * so that concurrent calls spread over different workers. The number is limited to what the tasks
 * to start are expected to need, because long calls would delay steps beyond their objective. In a
 * busy cell, in which few workers have free capacity, most of the reply to a call for arbitrary
 * workers would also be useless.
 */
final class AdviceCandidates
{
    /** Minimum number of workers per call; the objective of a step allows time for as many. */
    private static final int MIN_WORKERS = 30;
    /** Maximum number of workers per call that the service accepts. */
    private static final int MAX_WORKERS = 100;
    /**
     * Assumed share of workers without known advice that may run a step. A cautious estimate: a low
     * value includes more workers in a call.
     */
    private static final double EXPECTED_ALLOWED_SHARE = 0.35;
    /** Factor that accounts for other steps starting on the same workers in the meantime. */
    private static final double CONTENTION_FACTOR = 1.5;

    private final Step step;
    private final int taskCount;
    private final Set<String> allowedWorkers;

    /**
     * Creates the selection for a step.
     *
     * @param step the step
     * @param taskCount the number of its tasks to start
     * @param allowedWorkers the ids of workers that are known to be allowed for it
     */
    AdviceCandidates(Step step, int taskCount, Set<String> allowedWorkers)
    {
        this.step = step;
        this.taskCount = taskCount;
        this.allowedWorkers = allowedWorkers;
    }

    /**
     * A worker with the number of the step's tasks that fit on it now and its rank in the step's order.
     */
    private record Candidate(TrackedWorker worker, int taskCapacity, int rank)
    {
    }

    /**
     * Chooses the workers for an advice call.
     *
     * @param workers the candidates
     * @return the chosen workers, in descending preference
     */
    List<TrackedWorker> choose(Collection<TrackedWorker> workers)
    {
        List<Candidate> candidates = new ArrayList<>();
        for (TrackedWorker worker : workers)
        {
            candidates
                    .add(new Candidate(worker, taskCapacity(worker), (step.name() + worker.id()).hashCode()));
        }
        candidates.sort(Comparator.comparing((Candidate candidate) -> candidate.taskCapacity() == 0)
                .thenComparing(candidate -> step.isTooSlow(candidate.worker()))
                .thenComparing(candidate -> !isInPreferredRack(candidate.worker()))
                .thenComparing(candidate -> !allowedWorkers.contains(candidate.worker().id()))
                .thenComparingDouble(candidate -> -step.speedFit().slowRank(candidate.worker().speed()))
                .thenComparingInt(Candidate::rank));
        return selectEnough(candidates);
    }

    private List<TrackedWorker> selectEnough(List<Candidate> candidates)
    {
        double wanted = taskCount * CONTENTION_FACTOR;
        double expected = 0;
        List<TrackedWorker> chosen = new ArrayList<>();
        for (Candidate candidate : candidates)
        {
            boolean enough = expected >= wanted && chosen.size() >= MIN_WORKERS;
            if (enough || chosen.size() == MAX_WORKERS)
            {
                return chosen;
            }
            TrackedWorker worker = candidate.worker();
            chosen.add(worker);
            // workers without free capacity are expected to free some for one task
            expected += Math.max(1, candidate.taskCapacity())
                    * (allowedWorkers.contains(worker.id()) ? 1 : EXPECTED_ALLOWED_SHARE);
        }
        return chosen;
    }

    private boolean isInPreferredRack(TrackedWorker worker)
    {
        String rack = step.spec().affinity();
        return rack != null && rack.equals(worker.entry().rack());
    }

    /** Returns the number of tasks of the step that fit on a worker now. */
    private int taskCapacity(TrackedWorker worker)
    {
        ComputeResources needs = step.needs();
        int limit = step.spec().antiAffinity() > 0 ? step.spec().antiAffinity() : taskCount;
        int count = 0;
        while (count < limit && worker.free().fits(needs.times(count + 1)))
        {
            count++;
        }
        return count;
    }
}
