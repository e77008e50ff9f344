/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoredValue;

/**
 * Feeds accepted and cancelled jobs to the ledger of a term, with what earlier owners recorded of
 * them.
 */
final class JobReader implements KeyFollower.Listener
{
    private static final long LOAD_RETRY_MILLIS = 60;
    /** How long the watch of jobs is given to tell of one that a peer told of. */
    private static final long WATCH_MILLIS = 150;

    private final OwnerTerm term;
    private final PlatformStore store;
    private final Runnable onListed;
    private Map<String, JobProgress> recorded = Map.of();
    private volatile boolean listed;

    /**
     * @param term the term
     * @param store the platform's store
     * @param onListed runs once all jobs are known
     */
    JobReader(OwnerTerm term, PlatformStore store, Runnable onListed)
    {
        this.term = term;
        this.store = store;
        this.onListed = onListed;
    }

    /** Whether all jobs that were there at the begin of the term are known. */
    boolean areListed()
    {
        return listed;
    }

    /** Reads what earlier owners recorded; comes before the jobs are followed. */
    void readProgress() throws InterruptedException
    {
        while (!term.lease().isOver())
        {
            try
            {
                Map<String, JobProgress> found = new HashMap<>();
                for (StoredValue value : store.list(JobKeys.PROGRESS).values())
                {
                    String id = value.key().substring(JobKeys.PROGRESS.length());
                    found.put(id, JobCodec.readProgress(value.value()));
                }
                recorded = found;
                return;
            }
            catch (GaugehollowException e)
            {
                Thread.sleep(LOAD_RETRY_MILLIS);
            }
        }
    }

    /**
     * A box has written the record of a job. It is read if the watch does not tell of it soon; a watch
     * may hear nothing for a while though the store answers. Its cancellation is read with it, so that
     * a cancelled job is not started.
     */
    void noteWritten(String job)
    {
        OwnerTerm.inBackground("written-" + job, () -> readUnlessKnown(job));
    }

    private void readUnlessKnown(String job) throws InterruptedException
    {
        Thread.sleep(WATCH_MILLIS);
        if (!listed || term.lease().isOver() || isKnown(job))
        {
            return;
        }
        try
        {
            List<StoredValue> found = HedgedCall.first(() -> store.list(JobKeys.jobPrefix(job))).values();
            found.forEach(value -> JobKeys.idOfCancel(value.key()).ifPresent(this::cancel));
            found.forEach(value -> put(value.key(), value.value(), value.modRevision()));
            term.events().record(EventType.JOB_READ, job, found.isEmpty() ? "its record is gone" : "");
        }
        catch (GaugehollowException e)
        {
            term.events().record(EventType.JOB_READ, job, "failed: " + e.getMessage());
        }
    }

    private boolean isKnown(String job)
    {
        synchronized (term.ledger())
        {
            return term.ledger().knows(job);
        }
    }

    @Override
    public void put(String key, byte[] value, long revision)
    {
        JobKeys.idOfJob(key).ifPresent(id -> accept(id, value, revision));
        JobKeys.idOfCancel(key).ifPresent(this::cancel);
    }

    private void accept(String id, byte[] value, long revision)
    {
        try
        {
            Effects effects;
            synchronized (term.ledger())
            {
                effects = term.ledger().accept(JobCodec.readRecord(value), revision, recorded.get(id),
                        System.currentTimeMillis());
            }
            term.apply(effects);
            term.wake();
        }
        catch (GaugehollowException e)
        {
            term.events().record(EventType.JOB_UNREADABLE, id, e.getMessage());
        }
    }

    private void cancel(String id)
    {
        Effects effects;
        synchronized (term.ledger())
        {
            effects = term.ledger().cancel(id);
        }
        term.apply(effects);
    }

    @Override
    public void removed(String key, long revision)
    {
        synchronized (term.ledger())
        {
            JobKeys.idOfJob(key).ifPresent(term.ledger()::forget);
        }
    }

    @Override
    public void listed(long revision)
    {
        recorded = Map.of();
        if (!listed)
        {
            listed = true;
            onListed.run();
        }
        term.wake();
    }
}
