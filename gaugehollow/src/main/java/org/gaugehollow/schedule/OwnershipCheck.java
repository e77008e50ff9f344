/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Confirms a term by reading the owner's key, and ends the term once the key is another one or the
 * term lacks confirmation for too long. A renewal of the lease does not show this, because a box
 * that replaces a suspected owner replaces the key while the lease lives on. Reads run in parallel,
 * so that a lost or slow reply doesn't cost the term.
 */
final class OwnershipCheck implements SupervisedTask
{
    private static final int PERIOD_MILLIS = 500;
    /** Age from which a read answer is logged; the box was paused or the store is very slow. */
    private static final long LATE_MILLIS = 1_000;

    private final PlatformStore store;
    private final OwnerLease lease;
    private final EventLog events;

    /**
     * @param store the platform's store
     * @param lease the term
     * @param events log for failed and late reads
     */
    OwnershipCheck(PlatformStore store, OwnerLease lease, EventLog events)
    {
        this.store = store;
        this.lease = lease;
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (!lease.hasEnded())
        {
            OwnerTerm.inBackground("owner-key-" + lease.fence(), this::check);
            Thread.sleep(PERIOD_MILLIS);
            if (!lease.maySendCommands())
            {
                lease.end("term not confirmed by the store for " + lease.unconfirmedMillis() + " ms");
            }
        }
    }

    private void check() throws InterruptedException
    {
        long sentNanos = SteadyClock.nanos();
        try
        {
            Optional<StoredValue> ownerKey = store.get(JobKeys.OWNER);
            if (ownerKey.isEmpty())
            {
                lease.end("the owner's key is gone");
            }
            else if (ownerKey.get().modRevision() != lease.ownerRevision())
            {
                lease.end("another box replaced the owner's key");
            }
            else
            {
                confirm(sentNanos);
            }
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LEASE_NOT_RENEWED, lease.box(),
                    "the owner's key was not read: " + e.getMessage());
        }
    }

    private void confirm(long sentNanos)
    {
        lease.recordConfirmation(sentNanos);
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - sentNanos);
        if (ageMillis >= LATE_MILLIS)
        {
            events.record(EventType.CONFIRMED_LATE, lease.box(), "sent " + ageMillis + " ms before");
        }
    }
}
