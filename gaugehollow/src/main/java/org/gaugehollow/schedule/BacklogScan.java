/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.admission.BacklogAccount;
import org.gaugehollow.admission.BacklogSummary;
import org.gaugehollow.admission.CapacitySummary;
import org.gaugehollow.admission.JobRank;
import org.gaugehollow.admission.ServiceCapacity;
import org.gaugehollow.job.JobState;
import org.gaugehollow.urgency.Outlook;

/**
 * Counts the waiting work in one walk over the jobs and workers. Guarded by the lock of the cell
 * state.
 */
final class BacklogScan
{
    /** Minimum time between two scans; shorter than the probes by which other boxes get the result. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long NEVER = Long.MIN_VALUE;

    private final CellState cellState;
    private final Planner planner;
    private final OwnerLease lease;
    private long scannedNanos = NEVER;

    BacklogScan(CellState cellState, Planner planner, OwnerLease lease)
    {
        this.cellState = cellState;
        this.planner = planner;
        this.lease = lease;
    }

    /** Returns whether the next scan is due. */
    boolean isDue(long nowNanos)
    {
        return scannedNanos == NEVER || nowNanos - scannedNanos >= INTERVAL_NANOS;
    }

    /**
     * Counts the waiting work. Must be called right after a planning round, when free capacity is
     * capacity that no task could use.
     *
     * @param nowNanos the monotonic time, in nanoseconds
     * @param wallMillis the wall-clock time, in milliseconds since 1970
     * @return the account, or empty if nothing waits or there are more ranks than an account may have
     */
    Optional<BacklogAccount> scan(long nowNanos, long wallMillis)
    {
        scannedNanos = nowNanos;
        BacklogSummary backlog = new BacklogSummary();
        Map<String, CapacitySummary> capacities = new HashMap<>();
        for (Job job : cellState.jobs())
        {
            if (!job.state().isFinal())
            {
                addJob(job, backlog, capacities, wallMillis);
            }
        }
        if (backlog.isEmpty())
        {
            return Optional.empty();
        }
        cellState.workers().forEach(worker -> addWorker(worker, capacities));
        List<ServiceCapacity> summaries = capacities.entrySet().stream().map(entry -> entry.getValue()
                .summarize(cellState.completions().perSecond(entry.getKey(), nowNanos))).toList();
        Set<String> customersAtWeight = cellState.customersAtWeight(wallMillis);
        BacklogAccount account = new BacklogAccount(lease.box(), lease.fence(), backlog.classes(), summaries,
                customersAtWeight);
        return account.isWithinLimits() ? Optional.of(account) : Optional.empty();
    }

    /**
     * Adds a job. Jobs that are too late are planned behind all others, and jobs that wait for their
     * customer's quota can't use capacity; so no new job waits for them.
     */
    private void addJob(Job job, BacklogSummary backlog, Map<String, CapacitySummary> capacities,
            long wallMillis)
    {
        String service = job.queue().service();
        List<Step> ready = job.waitingSteps();
        boolean waitsForQuota = !ready.isEmpty() && ready.stream().noneMatch(planner::allowsQuota);
        Outlook outlook = job.outlook(wallMillis);
        if (outlook == Outlook.TOO_LATE || waitsForQuota)
        {
            return;
        }
        JobRank rank = new JobRank(service, job.queue().priority(), job.isBeyondWeight());
        boolean isLate = !outlook.mayBeInTime();
        backlog.addArrival(rank, isLate, job.coreMillis(), wallMillis - job.record().acceptedMillis());
        backlog.add(rank, isLate, job.state() == JobState.QUEUED, job.waitingCoreMillis());
        CapacitySummary capacity = capacities.computeIfAbsent(service, CapacitySummary::new);
        if (job.queue().adviceIfNeeded().isPresent())
        {
            ready.stream().filter(planner::allowsQuota).filter(BacklogScan::canRunAnywhere)
                    .forEach(step -> capacity.addClaims(step.needs(), step.waitingTasks().size()));
        }
    }

    /**
     * Returns whether any worker of the service may run the step, so that it uses any free capacity.
     */
    private static boolean canRunAnywhere(Step step)
    {
        String label = step.spec().requires();
        return label == null || label.isEmpty();
    }

    private void addWorker(TrackedWorker worker, Map<String, CapacitySummary> capacities)
    {
        if (worker.acceptsStarts() && !planner.isIsolated(worker))
        {
            CapacitySummary capacity = capacities.get(worker.entry().service());
            if (capacity != null)
            {
                capacity.addWorker(worker.entry().capacity(), worker.free());
            }
        }
        worker.forEachTask(task -> addRun(task, capacities));
    }

    private static void addRun(Task task, Map<String, CapacitySummary> capacities)
    {
        CapacitySummary capacity = capacities.get(task.step().job().queue().service());
        if (capacity != null)
        {
            capacity.addRun(task.step().needs(), task.step().spec().longRunning());
        }
    }
}
