/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.Map;
import java.util.stream.Collectors;

import org.gaugehollow.event.Metrics;
import org.gaugehollow.schedule.OwnerElection;

/** Registers the gauges that a box serves as owner of the cell; empty or 0 on other boxes. */
final class OwnerGauges
{
    private OwnerGauges()
    {
    }

    static void register(Metrics metrics, OwnerElection election)
    {
        metrics.gauge("gaugehollow_owner", "1 where this box owns the cell.",
                () -> election.isOwner() ? 1 : 0);
        metrics.gauge("gaugehollow_owner_unconfirmed_milliseconds",
                "Time since the last call with which the store confirmed the term was sent; 0 elsewhere.",
                () -> election.isOwner() ? election.unconfirmedMillis() : 0);
        metrics.gauge("gaugehollow_queued_jobs",
                "Jobs that have not started, as counted by this box where it owns the cell.", "queue",
                () -> toDoubles(election.status().queuedJobs()));
        registerWaits(metrics, election);
        registerSpeeds(metrics, election);
        registerCustomers(metrics, election);
        registerStoppedWork(metrics, election);
    }

    private static Map<String, Double> toDoubles(Map<String, Integer> counts)
    {
        return counts.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, count -> (double) count.getValue()));
    }

    private static void registerWaits(Metrics metrics, OwnerElection election)
    {
        metrics.gauge("gaugehollow_waiting_tasks",
                "Tasks that are due and have not run for a second, by the reason for which they wait.",
                "reason", () -> election.status().waits().tasksByLabel());
        metrics.gauge("gaugehollow_longest_wait_seconds", "Longest wait of a task by reason.", "reason",
                () -> election.status().waits().longestSecondsByLabel());
    }

    private static void registerSpeeds(Metrics metrics, OwnerElection election)
    {
        metrics.gauge("gaugehollow_worker_slowness",
                "Duration of runs relative to the typical worker, by kind of worker.", "kind",
                () -> election.status().speeds().slownessByKind());
        metrics.gauge("gaugehollow_slow_placements",
                "Placements in this term on workers too slow for the objective of the job.",
                () -> election.status().speeds().slowPlacements());
    }

    private static void registerCustomers(Metrics metrics, OwnerElection election)
    {
        metrics.gauge("gaugehollow_customer_share",
                "Part of the cell that a customer uses, as a multiple of the part of its weight, for the largest.",
                "customer", () -> election.status().customers().shares());
        metrics.gauge("gaugehollow_customer_waiting_tasks",
                "Tasks of a customer that are ready to start, for the customers with the largest shares.",
                "customer", () -> election.status().customers().waitingTasks());
    }

    private static void registerStoppedWork(Metrics metrics, OwnerElection election)
    {
        metrics.gauge("gaugehollow_stopped_core_milliseconds",
                "Work lost by runs that were stopped to continue elsewhere, since the start of this box.",
                "reason", election::stoppedCoreMillis);
        metrics.gauge("gaugehollow_copies_started", "Second runs of tasks that this box has started.",
                () -> election.copyStatistics().started());
        metrics.gauge("gaugehollow_copies_won", "Second runs that completed their tasks.",
                () -> election.copyStatistics().won());
        metrics.gauge("gaugehollow_copies_wasted_core_seconds",
                "Work of runs that did not count because the task had a second run, in core-seconds.",
                () -> election.copyStatistics().wastedCoreSeconds());
    }
}
