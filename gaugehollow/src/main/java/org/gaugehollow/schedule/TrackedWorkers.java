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

import org.gaugehollow.worker.WorkerEntry;

/** The lives of workers that the owner knows, listed or not. Guarded by the ledger's lock. */
final class TrackedWorkers
{
    private final LongSupplier nanoTime;
    private final long unknownLeaseEnd;
    private final Map<String, TrackedWorker> slots = new HashMap<>();
    /** Workers whose leases are left to lapse; a worker that is listed anew stays among them. */
    private final Set<String> lapsing = new HashSet<>();
    private final Map<String, Long> recordedLeaseEnds = new HashMap<>();
    private final UnansweredStarts unansweredStarts = new UnansweredStarts();

    /**
     * @param nanoTime a monotonic clock
     * @param unknownLeaseNanos how long after now a worker that cannot be reached may still run what an
     *            earlier owner started
     */
    TrackedWorkers(LongSupplier nanoTime, long unknownLeaseNanos)
    {
        this.nanoTime = nanoTime;
        this.unknownLeaseEnd = nanoTime.getAsLong() + unknownLeaseNanos;
    }

    Collection<TrackedWorker> all()
    {
        return slots.values();
    }

    Optional<TrackedWorker> find(String id)
    {
        return Optional.ofNullable(slots.get(id));
    }

    /** The slot of a worker, be it listed or not. */
    TrackedWorker get(String id)
    {
        return slots.computeIfAbsent(id, this::create);
    }

    private TrackedWorker create(String id)
    {
        long leaseEnd = recordedLeaseEnds.getOrDefault(id, unknownLeaseEnd);
        TrackedWorker slot = new TrackedWorker(id, leaseEnd, nanoTime.getAsLong());
        slot.setLeaseExpiring(lapsing.contains(id));
        return slot;
    }

    /**
     * The lives of a worker that are surely not the given one: an owner of an earlier version recorded
     * a worker by its id alone, and may have meant that one.
     */
    List<TrackedWorker> otherIncarnations(TrackedWorker one)
    {
        return slots.values().stream()
                .filter(slot -> slot != one && slot.hasStartTime() && slot.worker().equals(one.worker()))
                .toList();
    }

    /** The starts that got no answer. */
    UnansweredStarts unansweredStarts()
    {
        return unansweredStarts;
    }

    /** Takes a worker's newest entry; returns the slot of the life that wrote it. */
    TrackedWorker list(WorkerEntry entry)
    {
        TrackedWorker slot = get(entry.incarnation().text());
        slot.setEntry(entry, nanoTime.getAsLong());
        return slot;
    }

    /** Drops a worker that is no longer listed and holds nothing. */
    void unlist(TrackedWorker slot)
    {
        if (slot.isIdle())
        {
            slots.remove(slot.id());
        }
    }

    /** Workers whose leases have surely lapsed and that still hold tasks. */
    List<TrackedWorker> withExpiredLease()
    {
        long now = nanoTime.getAsLong();
        return slots.values().stream().filter(slot -> !slot.isIdle() && now - slot.leaseEndNanos() > 0)
                .toList();
    }

    /**
     * Takes over what the owner before recorded; comes before any job or worker is known.
     *
     * @param leaseEnds by worker, the time of the monotonic clock at which its lease is over
     */
    void restoreExpiringLeases(Map<String, Long> leaseEnds)
    {
        recordedLeaseEnds.putAll(leaseEnds);
        lapsing.addAll(leaseEnds.keySet());
    }

    /** A worker's lease is not renewed from now on. */
    void stopLeaseRenewal(TrackedWorker slot)
    {
        lapsing.add(slot.id());
        slot.setLeaseExpiring(true);
    }

    /** A worker's lease may be renewed again. */
    void resumeLeaseRenewal(String id)
    {
        lapsing.remove(id);
        recordedLeaseEnds.remove(id);
        find(id).ifPresent(slot -> slot.setLeaseExpiring(false));
    }
}
