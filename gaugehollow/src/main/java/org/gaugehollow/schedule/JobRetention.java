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

/** Removes the records of jobs that have been over for long enough, a few at a time. */
final class JobRetention implements SupervisedTask
{
    private static final long PERIOD_MILLIS = 5_000;
    /** Each job has three keys, and a transaction takes few. */
    private static final int MOST_JOBS = 10;

    private final PlatformStore store;
    private final CellState ledger;
    private final OwnerLease owner;
    private final EventLog events;
    private final long retentionNanos;

    /**
     * @param store the platform's store
     * @param ledger knows since when jobs are over
     * @param owner this box's ownership, under which it removes
     * @param events where trouble is recorded
     * @param retentionNanos how long a job is shown after it is over; an owner counts from when it
     *            learnt of it
     */
    JobRetention(PlatformStore store, CellState ledger, OwnerLease owner, EventLog events,
            long retentionNanos)
    {
        this.store = store;
        this.ledger = ledger;
        this.owner = owner;
        this.events = events;
        this.retentionNanos = retentionNanos;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (!owner.hasEnded())
        {
            while (removeSome())
            {
                Thread.sleep(PERIOD_MILLIS / MOST_JOBS);
            }
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    /** Removes a few jobs; true if there may be more. */
    boolean removeSome() throws InterruptedException
    {
        List<String> ids;
        synchronized (ledger)
        {
            ids = ledger.retired().retiredFor(retentionNanos, MOST_JOBS);
        }
        if (ids.isEmpty())
        {
            return false;
        }
        StoreTransaction removal = new StoreTransaction().require(JobKeys.OWNER, owner.ownerRevision());
        for (String id : ids)
        {
            removal.delete(JobKeys.job(id)).delete(JobKeys.cancel(id)).delete(JobKeys.progress(id));
        }
        try
        {
            return store.commit(removal).isPresent() && ids.size() == MOST_JOBS;
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.PROGRESS_DELAYED, owner.box(), "removal of old jobs: " + e.getMessage());
            return false;
        }
    }
}
