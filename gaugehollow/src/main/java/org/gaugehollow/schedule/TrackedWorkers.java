/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.gaugehollow.speed.SpeedEstimates;
import org.gaugehollow.worker.WorkerEntry;

/**
 * The worker incarnations in the cell state, listed or not. Guarded by the lock of the cell state.
 */
final class TrackedWorkers
{
    private final LongSupplier nanoTime;
    /** Time at which leases granted by earlier owners have certainly expired. */
    private long unknownLeaseEndNanos;
    private final Map<String, TrackedWorker> workers = new HashMap<>();
    /**
     * Incarnations whose leases are left to expire. An incarnation that is listed again remains in this
     * set.
     */
    private final Set<String> expiringIds = new HashSet<>();
    private final Map<String, Long> recordedLeaseEnds = new HashMap<>();
    private final UnansweredStarts unansweredStarts = new UnansweredStarts();
    private final SpeedEstimates speeds = new SpeedEstimates();

    /**
     * @param nanoTime a monotonic clock
     * @param unknownLeaseNanos how long an unreachable worker may continue the runs of an earlier
     *            owner, from now
     */
    TrackedWorkers(LongSupplier nanoTime, long unknownLeaseNanos)
    {
        this.nanoTime = nanoTime;
        this.unknownLeaseEndNanos = nanoTime.getAsLong() + unknownLeaseNanos;
    }

    Collection<TrackedWorker> all()
    {
        return workers.values();
    }

    Optional<TrackedWorker> find(String id)
    {
        return Optional.ofNullable(workers.get(id));
    }

    /** Returns the tracked worker with the given id, creating it if necessary. */
    TrackedWorker get(String id)
    {
        return workers.computeIfAbsent(id, this::create);
    }

    private TrackedWorker create(String id)
    {
        long leaseEnd = Math.min(recordedLeaseEnds.getOrDefault(id, unknownLeaseEndNanos),
                unknownLeaseEndNanos);
        TrackedWorker worker = new TrackedWorker(id, leaseEnd, nanoTime.getAsLong());
        worker.setLeaseExpiring(expiringIds.contains(id));
        return worker;
    }

    /**
     * Returns the other incarnations of the same worker whose start time is known. One without a start
     * time was recorded by an older version and may be the given incarnation.
     */
    List<TrackedWorker> otherIncarnations(TrackedWorker worker)
    {
        return workers.values().stream().filter(other -> other != worker && other.hasStartTime()
                && other.workerId().equals(worker.workerId())).toList();
    }

    /** Returns the estimated speeds of the workers. */
    SpeedEstimates speeds()
    {
        return speeds;
    }

    /** Returns the unanswered starts. */
    UnansweredStarts unansweredStarts()
    {
        return unansweredStarts;
    }

    /**
     * Stores the newest entry of a worker.
     *
     * @return the incarnation that wrote the entry
     */
    TrackedWorker update(WorkerEntry entry)
    {
        TrackedWorker worker = get(entry.incarnation().text());
        boolean mayBeOfOtherKind = worker.entry() == null || !worker.entry().labels().equals(entry.labels());
        worker.setEntry(entry, nanoTime.getAsLong());
        if (mayBeOfOtherKind)
        {
            speeds.setKind(worker.speed(), SpeedMonitor.kindOf(entry));
        }
        return worker;
    }

    /** Removes an unlisted worker that has no tasks. */
    void removeIfIdle(TrackedWorker worker)
    {
        if (worker.isIdle())
        {
            workers.remove(worker.id());
            speeds.remove(worker.speed());
        }
    }

    /** Returns the workers that still have tasks although their leases have certainly expired. */
    List<TrackedWorker> withExpiredLease()
    {
        long nowNanos = nanoTime.getAsLong();
        return workers.values().stream()
                .filter(worker -> !worker.isIdle() && nowNanos - worker.leaseEndNanos() > 0).toList();
    }

    /**
     * Restores the expiring leases that the previous owner recorded. Must be called before any job or
     * worker is known.
     *
     * @param leaseEnds monotonic time of the end of each lease by incarnation
     */
    void restoreExpiringLeases(Map<String, Long> leaseEnds)
    {
        recordedLeaseEnds.putAll(leaseEnds);
        expiringIds.addAll(leaseEnds.keySet());
    }

    /**
     * Limits the leases that earlier owners granted.
     *
     * @param endNanos monotonic time at which all of them have certainly expired
     */
    void limitUnknownLeases(long endNanos)
    {
        unknownLeaseEndNanos = Math.min(unknownLeaseEndNanos, endNanos);
        workers.values().forEach(worker -> worker.limitUnknownLease(endNanos));
    }

    /**
     * Limits the leases that the previous owner recorded.
     *
     * @param leaseEnds monotonic time at which each of them has certainly expired, by incarnation
     */
    void limitRecordedLeases(Map<String, Long> leaseEnds)
    {
        leaseEnds.forEach((id, endNanos) ->
        {
            recordedLeaseEnds.computeIfPresent(id, (key, known) -> Math.min(known, endNanos));
            find(id).ifPresent(worker -> worker.limitUnknownLease(endNanos));
        });
    }

    /** Stops renewing the lease of a worker. */
    void stopLeaseRenewal(TrackedWorker worker)
    {
        expiringIds.add(worker.id());
        worker.setLeaseExpiring(true);
    }

    /** Allows the lease of a worker to be renewed again. */
    void resumeLeaseRenewal(String id)
    {
        expiringIds.remove(id);
        recordedLeaseEnds.remove(id);
        find(id).ifPresent(worker -> worker.setLeaseExpiring(false));
    }

    /** Returns the priority of the least urgent queue with tasks on workers; 0 is the most urgent. */
    int leastUrgentRunning()
    {
        int lowestPriority = 0;
        for (TrackedWorker worker : all())
        {
            for (Task task : worker.tasks())
            {
                lowestPriority = Math.max(lowestPriority, task.step().job().queue().priority());
            }
        }
        return lowestPriority;
    }
}
