/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Renews the store's lease of a term. Renewals run in parallel, so that a lost or slow reply
 * doesn't cost the lease.
 */
final class LeaseRenewal implements SupervisedTask
{
    private static final int PERIOD_MILLIS = 300;

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
        try
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
        catch (GaugehollowException e)
        {
            events.record(EventType.LEASE_NOT_RENEWED, lease.box(), e.getMessage());
        }
    }
}
