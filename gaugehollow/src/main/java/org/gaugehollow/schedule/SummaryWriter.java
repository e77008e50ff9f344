/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;
import java.util.Optional;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Writes how many jobs of each queue have not begun, whenever that changes. The counts go with the
 * owner's lease, so that nobody is told of counts that no owner keeps any more.
 */
final class SummaryWriter implements SupervisedTask
{
    private static final long PERIOD_MILLIS = 500;

    private final PlatformStore store;
    private final CellState ledger;
    private final OwnerLease owner;

    SummaryWriter(PlatformStore store, CellState ledger, OwnerLease owner)
    {
        this.store = store;
        this.ledger = ledger;
        this.owner = owner;
    }

    @Override
    public void run() throws InterruptedException
    {
        Map<String, Integer> written = null;
        while (!owner.hasEnded())
        {
            Map<String, Integer> now;
            synchronized (ledger)
            {
                now = ledger.pending();
            }
            if (!now.equals(written) && write(now))
            {
                written = now;
            }
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    private boolean write(Map<String, Integer> counts) throws InterruptedException
    {
        try
        {
            Optional<Long> revision = store
                    .commit(new StoreTransaction().require(JobKeys.OWNER, owner.ownerRevision())
                            .put(JobKeys.SUMMARY, Json.write(counts), owner.storeLease()));
            return revision.isPresent();
        }
        catch (GaugehollowException e)
        {
            return false;
        }
    }
}
