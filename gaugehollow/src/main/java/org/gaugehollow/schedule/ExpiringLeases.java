/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
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
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Records in the store which workers do not answer and when their leases are over at the latest.
 * The next owner then waits for the rest of such a lease; without the record it waits 14.6 s for
 * each worker that it cannot reach, and tasks of a worker that was lost before a change of owner
 * stood still for 26 s.
 * <p>
 * A lease that is recorded is not renewed: neither while the write of the record is under way nor
 * after, until the store has taken the worker out again. The record holds for the term that wrote
 * it and for the one that follows directly.
 */
final class ExpiringLeases implements SupervisedTask
{
    /**
     * How long a worker has not answered when it is recorded. A look over a new connection is answered
     * well within that time where only a connection was lost (0.15 s and a round trip).
     */
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * A new worker is recorded only while the store answers, so that one that is back is not left
     * without its lease for as long as the store is silent. Three renewals of the term.
     */
    private static final long STORE_ANSWERS_MILLIS = 900;
    /** How long a worker that stays away is recorded after its lease is over. */
    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long PERIOD_MILLIS = 200;
    private static final long RETRY_MILLIS = 60;

    private final PlatformStore store;
    private final CellState ledger;
    private final OwnerLease owner;
    private final EventLog events;
    private final Semaphore wakeUps = new Semaphore(0);
    /** By worker, when its lease is over. */
    private final Map<String, Long> leaseEnds = new HashMap<>();
    /** The workers that the store may have recorded, be it by a write whose outcome is not known. */
    private final Set<String> mayBeRecorded = new HashSet<>();
    private long revision;
    /** Whether the store surely holds the newest record of this term, or needs none. */
    private boolean settled = true;

    /**
     * The value of the record.
     *
     * @param fence the fencing token of the term that wrote it
     * @param millisLeft by worker, how long after the write its lease is over at the latest, in
     *            milliseconds
     */
    record LeaseRecord(long fence, Map<String, Long> millisLeft)
    {
    }

    /**
     * @param store the platform's store
     * @param ledger the workers
     * @param owner this box's ownership, under which it writes
     * @param events where each write is recorded
     */
    ExpiringLeases(PlatformStore store, CellState ledger, OwnerLease owner, EventLog events)
    {
        this.store = store;
        this.ledger = ledger;
        this.owner = owner;
        this.events = events;
    }

    /** Reads what the owner before recorded; comes before jobs and workers are known. */
    void read() throws InterruptedException
    {
        while (!owner.hasEnded())
        {
            try
            {
                HedgedCall.read(() -> store.get(JobKeys.EXPIRING_LEASES)).ifPresent(this::takeOver);
                return;
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.LAPSING_RECORDED, owner.box(), "not read: " + e.getMessage());
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    private void takeOver(StoredValue value)
    {
        revision = value.modRevision();
        LeaseRecord found = parse(value);
        boolean isOfTermBefore = found.fence() != OwnerLease.UNKNOWN_FENCE
                && found.fence() == owner.previousFence();
        if (!isOfTermBefore || found.millisLeft() == null)
        {
            return;
        }
        long now = SteadyClock.nanos();
        found.millisLeft()
                .forEach((id, left) -> leaseEnds.put(id, now + TimeUnit.MILLISECONDS.toNanos(left)));
        mayBeRecorded.addAll(leaseEnds.keySet());
        settled = false;
        synchronized (ledger)
        {
            ledger.slots().restoreExpiringLeases(leaseEnds);
        }
        events.record(EventType.LAPSING_RECORDED, owner.box(), "taken over: " + found.millisLeft());
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

    /** Looks at the workers soon. */
    void wake()
    {
        wakeUps.release();
    }

    @Override
    public void run() throws InterruptedException
    {
        while (!owner.hasEnded())
        {
            synchronized (ledger)
            {
                addSilent(SteadyClock.nanos());
                dropAnswering(SteadyClock.nanos());
            }
            if (!settled || !leaseEnds.keySet().equals(mayBeRecorded))
            {
                write();
            }
            if (wakeUps.tryAcquire(PERIOD_MILLIS, TimeUnit.MILLISECONDS))
            {
                wakeUps.drainPermits();
            }
        }
    }

    private void addSilent(long now)
    {
        if (owner.unconfirmedMillis() > STORE_ANSWERS_MILLIS)
        {
            return;
        }
        for (TrackedWorker slot : ledger.workers())
        {
            boolean isNew = !leaseEnds.containsKey(slot.id());
            if (isNew && !slot.isIdle() && slot.isUnresponsiveFor(SILENCE_NANOS, now))
            {
                ledger.slots().stopLeaseRenewal(slot);
                leaseEnds.put(slot.id(), slot.leaseEndNanos());
            }
        }
    }

    private void dropAnswering(long now)
    {
        leaseEnds.entrySet().removeIf(entry ->
        {
            boolean answers = ledger.worker(entry.getKey()).map(TrackedWorker::isResponsive).orElse(false);
            return answers || now - entry.getValue() > KEEP_NANOS;
        });
    }

    private void write() throws InterruptedException
    {
        Set<String> ids = Set.copyOf(leaseEnds.keySet());
        StoreTransaction transaction = transaction();
        mayBeRecorded.addAll(ids);
        settled = false;
        try
        {
            Optional<Long> written = HedgedCall.write(() -> store.commit(transaction));
            if (written.isEmpty())
            {
                readRevision();
                return;
            }
            revision = written.get();
            settled = true;
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LAPSING_RECORDED, owner.box(), "not written: " + e.getMessage());
            return;
        }
        events.record(EventType.LAPSING_RECORDED, owner.box(), "recorded: " + ids);
        letRenew(ids);
    }

    private StoreTransaction transaction()
    {
        long now = SteadyClock.nanos();
        Map<String, Long> millisLeft = new TreeMap<>();
        leaseEnds.forEach(
                (id, end) -> millisLeft.put(id, Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - now) + 1)));
        return new StoreTransaction().require(JobKeys.OWNER, owner.ownerRevision())
                .require(JobKeys.EXPIRING_LEASES, revision)
                .put(JobKeys.EXPIRING_LEASES, Json.write(new LeaseRecord(owner.fence(), millisLeft)));
    }

    /** Another write took effect, such as a late one or the same one sent before. */
    private void readRevision() throws InterruptedException
    {
        revision = HedgedCall.read(() -> store.get(JobKeys.EXPIRING_LEASES)).map(StoredValue::modRevision)
                .orElse(0L);
    }

    /** Workers that the store has no longer recorded get their leases renewed again. */
    private void letRenew(Set<String> ids)
    {
        Set<String> left = new HashSet<>(mayBeRecorded);
        left.removeAll(ids);
        mayBeRecorded.retainAll(ids);
        synchronized (ledger)
        {
            left.forEach(ledger.slots()::resumeLeaseRenewal);
        }
    }
}
