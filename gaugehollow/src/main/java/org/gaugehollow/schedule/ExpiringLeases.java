/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Records in the store which workers are unresponsive and when their leases expire at the latest.
 * After a change of owner, the new owner waits only until these leases have expired. Without the
 * record it would wait for the maximum lease time, about 14.5 s, for each unreachable worker.
 * <p>
 * The lease of a recorded worker is not renewed from the start of the write until the store has
 * removed the worker from the record. The record is valid for the term that wrote it and for the
 * next one.
 */
final class ExpiringLeases implements SupervisedTask
{
    /**
     * Time without an answer after which a worker is recorded. Long enough for a heartbeat over a new
     * connection where only a connection was lost; that takes a retry delay of 0.15 s and a round trip.
     */
    private static final long MIN_UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /**
     * Maximum time since the store last answered a renewal of the term for a worker to be added.
     * Otherwise a recovered worker could stay without a lease until the store answers again. Shorter
     * than the time until a worker is recorded, so that workers that become unresponsive together with
     * the store are not recorded.
     */
    private static final long MAX_UNRENEWED_MILLIS = 450;
    /** Time for which a worker remains recorded after its lease has expired. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long PERIOD_MILLIS = 200;
    private static final long RETRY_MILLIS = 60;

    private final OwnerValue stored;
    private final CellState cellState;
    private final OwnerLease owner;
    private final EventLog events;
    private final Semaphore wakeUps = new Semaphore(0);
    /** Expiry of each lease by worker id, in nanoseconds. */
    private final Map<String, Long> leaseEnds = new HashMap<>();
    /** Workers that the stored record may contain, including writes with unknown outcome. */
    private final Set<String> possiblyRecorded = new HashSet<>();
    /** Remaining lease times that the previous owner recorded, in milliseconds. */
    private volatile Map<String, Long> adoptedMillis = Map.of();
    /** Whether the store is known to hold the newest record of this term, or needs none. */
    private boolean synced = true;

    /**
     * The stored record.
     *
     * @param fence fencing token of the term that wrote the record
     * @param millisLeft time from the write until the lease expires at the latest by worker id, in
     *            milliseconds
     */
    record LeaseRecord(long fence, Map<String, Long> millisLeft)
    {
        /** Rejects a worker without a time. */
        LeaseRecord
        {
            if (millisLeft != null && millisLeft.values().stream().anyMatch(Objects::isNull))
            {
                throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER, "millisLeft: a time is missing");
            }
        }
    }

    /**
     * @param store the platform's store
     * @param cellState state that tracks the workers
     * @param owner this box's term
     * @param events log for the writes
     */
    ExpiringLeases(PlatformStore store, CellState cellState, OwnerLease owner, EventLog events)
    {
        this.stored = new OwnerValue(store, JobKeys.EXPIRING_LEASES, owner);
        this.cellState = cellState;
        this.owner = owner;
        this.events = events;
    }

    /** Reads the record of the previous owner. Must be called before jobs and workers are read. */
    void read() throws InterruptedException
    {
        while (!owner.hasEnded())
        {
            try
            {
                stored.read().ifPresent(this::adopt);
                return;
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.LAPSING_RECORDED, owner.box(), "not read: " + e.getMessage());
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    private void adopt(StoredValue value)
    {
        LeaseRecord leaseRecord = parse(value);
        boolean isFromPreviousTerm = leaseRecord.fence() != OwnerLease.UNKNOWN_FENCE
                && leaseRecord.fence() == owner.previousFence();
        if (!isFromPreviousTerm || leaseRecord.millisLeft() == null)
        {
            return;
        }
        adoptedMillis = leaseRecord.millisLeft();
        leaseEnds.putAll(adoptedLeaseEnds(SteadyClock.nanos()));
        possiblyRecorded.addAll(leaseEnds.keySet());
        synced = false;
        synchronized (cellState)
        {
            cellState.trackedWorkers().restoreExpiringLeases(leaseEnds);
        }
        events.record(EventType.LAPSING_RECORDED, owner.box(),
                "adopted from the previous term: " + leaseRecord.millisLeft());
    }

    /**
     * Returns the monotonic time of the end of each lease that the previous owner recorded, by
     * incarnation.
     *
     * @param writtenNanos monotonic time by which the record had been written
     */
    Map<String, Long> adoptedLeaseEnds(long writtenNanos)
    {
        Map<String, Long> ends = new HashMap<>();
        adoptedMillis
                .forEach((id, millis) -> ends.put(id, writtenNanos + TimeUnit.MILLISECONDS.toNanos(millis)));
        return ends;
    }

    private LeaseRecord parse(StoredValue value)
    {
        try
        {
            return Json.read(value.value(), LeaseRecord.class, ResultCode.STORE_BAD_ANSWER);
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LAPSING_RECORDED, owner.box(), "unreadable: " + e.getMessage());
            return new LeaseRecord(OwnerLease.UNKNOWN_FENCE, Map.of());
        }
    }

    /** Triggers the next check of the workers. */
    void wake()
    {
        wakeUps.release();
    }

    @Override
    public void run() throws InterruptedException
    {
        while (!owner.hasEnded())
        {
            synchronized (cellState)
            {
                addUnresponsive(SteadyClock.nanos());
                dropResponsive(SteadyClock.nanos());
            }
            if (!synced || !leaseEnds.keySet().equals(possiblyRecorded))
            {
                write();
            }
            if (wakeUps.tryAcquire(PERIOD_MILLIS, TimeUnit.MILLISECONDS))
            {
                wakeUps.drainPermits();
            }
        }
    }

    private void addUnresponsive(long now)
    {
        if (owner.unrenewedMillis() > MAX_UNRENEWED_MILLIS)
        {
            return;
        }
        for (TrackedWorker worker : cellState.workers())
        {
            boolean isNew = !leaseEnds.containsKey(worker.id());
            if (isNew && !worker.isIdle() && worker.isUnresponsiveFor(MIN_UNRESPONSIVE_NANOS, now))
            {
                cellState.trackedWorkers().stopLeaseRenewal(worker);
                leaseEnds.put(worker.id(), worker.leaseEndNanos());
            }
        }
    }

    private void dropResponsive(long now)
    {
        leaseEnds.entrySet().removeIf(entry ->
        {
            boolean isResponsive = cellState.findWorker(entry.getKey()).map(TrackedWorker::isResponsive)
                    .orElse(false);
            return isResponsive || now - entry.getValue() > RETENTION_NANOS;
        });
    }

    private void write() throws InterruptedException
    {
        Set<String> ids = Set.copyOf(leaseEnds.keySet());
        LeaseRecord leaseRecord = createRecord();
        possiblyRecorded.addAll(ids);
        synced = false;
        try
        {
            if (!stored.write(Json.write(leaseRecord), OwnerValue.NO_LEASE))
            {
                return;
            }
            synced = true;
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LAPSING_RECORDED, owner.box(), "not written: " + e.getMessage());
            return;
        }
        events.record(EventType.LAPSING_RECORDED, owner.box(), "recorded: " + ids);
        resumeRenewals(ids);
    }

    private LeaseRecord createRecord()
    {
        long now = SteadyClock.nanos();
        Map<String, Long> millisLeft = new TreeMap<>();
        leaseEnds.forEach(
                (id, end) -> millisLeft.put(id, Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - now) + 1)));
        return new LeaseRecord(owner.fence(), millisLeft);
    }

    /** Resumes lease renewal for the workers that were removed from the record. */
    private void resumeRenewals(Set<String> ids)
    {
        Set<String> removed = new HashSet<>(possiblyRecorded);
        removed.removeAll(ids);
        possiblyRecorded.retainAll(ids);
        synchronized (cellState)
        {
            removed.forEach(cellState.trackedWorkers()::resumeLeaseRenewal);
        }
    }
}
