/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Renews the store's lease of a term, which confirms the term. Renewals run in parallel, so that a
 * lost or slow reply doesn't cost the lease.
 */
final class LeaseRenewal implements SupervisedTask
{
    private static final int PERIOD_MILLIS = 300;
    /** Time after which an answer counts as late; the lease may have expired meanwhile. */
    private static final long LATE_MILLIS = OwnerElection.LEASE_MILLIS;

    private final PlatformStore store;
    private final OwnerLease lease;
    private final EventLog events;

    /**
     * @param store the platform's store
     * @param lease the term
     * @param events log for failed renewals
     */
    LeaseRenewal(PlatformStore store, OwnerLease lease, EventLog events)
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
            OwnerTerm.inBackground("renew-" + lease.fence(), this::renew);
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    private void renew() throws InterruptedException
    {
        long sentNanos = SteadyClock.nanos();
        try
        {
            if (store.renewLease(lease.storeLease()))
            {
                confirm(sentNanos);
            }
            else
            {
                lease.end("lease not found in the store");
            }
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LEASE_NOT_RENEWED, lease.box(), e.getMessage());
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
