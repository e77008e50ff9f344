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
import org.gaugehollow.time.SteadyClock;

/**
 * Keeps a term alive: renews the store's lease, and confirms the term by reading the owner's key. A
 * renewal does not confirm the term, because a box that replaces a suspected owner replaces the key
 * while the lease lives on. Ends the term once it is lost or lacks confirmation for too long. Calls
 * run in parallel, so that a lost or slow reply doesn't cost the term.
 */
final class TermKeepAlive
{
    private static final int RENEW_MILLIS = 300;
    private static final int CONFIRM_MILLIS = 250;
    /** Age from which a read answer is logged; the box was paused or the store is very slow. */
    private static final long LATE_MILLIS = 1_000;

    private final PlatformStore store;
    private final OwnerLease lease;
    private final EventLog events;

    /**
     * @param store the platform's store
     * @param lease the term
     * @param events log for failed calls and late answers
     */
    TermKeepAlive(PlatformStore store, OwnerLease lease, EventLog events)
    {
        this.store = store;
        this.lease = lease;
        this.events = events;
    }

    /** Renews the lease until the term ends. */
    void renewPeriodically() throws InterruptedException
    {
        while (!lease.hasEnded())
        {
            callInBackground("renew-", this::renew, "");
            Thread.sleep(RENEW_MILLIS);
        }
    }

    /** Confirms the term until it ends, and ends it if it was not confirmed in time. */
    void confirmPeriodically() throws InterruptedException
    {
        while (!lease.hasEnded())
        {
            callInBackground("owner-key-", this::confirm, "the owner's key was not read: ");
            Thread.sleep(CONFIRM_MILLIS);
            if (!lease.maySendCommands())
            {
                lease.end("term not confirmed by the store for " + lease.unconfirmedMillis() + " ms");
            }
        }
    }

    private void callInBackground(String name, OwnerTerm.Interruptible call, String failurePrefix)
    {
        OwnerTerm.inBackground(name + lease.fence(), () ->
        {
            try
            {
                call.run();
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.LEASE_NOT_RENEWED, lease.box(), failurePrefix + e.getMessage());
            }
        });
    }

    private void renew() throws InterruptedException
    {
        if (store.renewLease(lease.storeLease()))
        {
            lease.recordRenewal();
        }
        else
        {
            lease.end("lease not found in the store");
        }
    }

    private void confirm() throws InterruptedException
    {
        long sentNanos = SteadyClock.nanos();
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
            recordConfirmation(sentNanos);
        }
    }

    private void recordConfirmation(long sentNanos)
    {
        lease.recordConfirmation(sentNanos);
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - sentNanos);
        if (ageMillis >= LATE_MILLIS)
        {
            events.record(EventType.CONFIRMED_LATE, lease.box(), "sent " + ageMillis + " ms before");
        }
    }
}
