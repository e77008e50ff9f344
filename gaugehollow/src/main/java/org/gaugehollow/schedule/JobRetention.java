/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.supervise.SupervisedTask;

/** Removes the records of finished jobs after the retention time, in small batches. */
final class JobRetention implements SupervisedTask
{
    private static final long PERIOD_MILLIS = 5_000;
    /** Each job has three keys, and the size of a transaction is limited. */
    private static final int MAX_JOBS_PER_REMOVAL = 10;

    private final PlatformStore store;
    private final CellState cellState;
    private final OwnerLease owner;
    private final EventLog events;
    private final long retentionNanos;

    /**
     * @param store the platform's store
     * @param cellState state that knows when jobs ended
     * @param owner this box's term
     * @param events log for store failures
     * @param retentionNanos time for which a finished job is kept, in nanoseconds, from when this owner
     *            learned of its end
     */
    JobRetention(PlatformStore store, CellState cellState, OwnerLease owner, EventLog events,
            long retentionNanos)
    {
        this.store = store;
        this.cellState = cellState;
        this.owner = owner;
        this.events = events;
        this.retentionNanos = retentionNanos;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (!owner.hasEnded())
        {
            while (removeBatch())
            {
                Thread.sleep(PERIOD_MILLIS / MAX_JOBS_PER_REMOVAL);
            }
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    /** Removes a batch of jobs; returns whether there may be more. */
    boolean removeBatch() throws InterruptedException
    {
        List<String> ids;
        synchronized (cellState)
        {
            ids = cellState.retired().findRetiredFor(retentionNanos, MAX_JOBS_PER_REMOVAL);
        }
        if (ids.isEmpty())
        {
            return false;
        }
        StoreTransaction removal = new StoreTransaction().require(JobKeys.OWNER, owner.ownerRevision());
        for (String id : ids)
        {
            removal.delete(JobKeys.job(id)).delete(JobKeys.cancellation(id)).delete(JobKeys.progress(id));
        }
        try
        {
            return store.commit(removal).isPresent() && ids.size() == MAX_JOBS_PER_REMOVAL;
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.PROGRESS_DELAYED, owner.box(),
                    "finished jobs not removed: " + e.getMessage());
            return false;
        }
    }
}
