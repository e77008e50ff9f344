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
 * Writes the number of jobs per queue that have not started, whenever it changes. The value is tied
 * to the owner's lease, so that it is removed when its owner is gone.
 */
final class SummaryWriter implements SupervisedTask
{
    private static final long PERIOD_MILLIS = 500;

    private final PlatformStore store;
    private final CellState cellState;
    private final OwnerLease owner;

    SummaryWriter(PlatformStore store, CellState cellState, OwnerLease owner)
    {
        this.store = store;
        this.cellState = cellState;
        this.owner = owner;
    }

    @Override
    public void run() throws InterruptedException
    {
        Map<String, Integer> written = null;
        while (!owner.hasEnded())
        {
            Map<String, Integer> counts;
            synchronized (cellState)
            {
                counts = cellState.countQueuedJobs();
            }
            if (!counts.equals(written) && write(counts))
            {
                written = counts;
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
