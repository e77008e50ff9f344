/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import org.gaugehollow.event.EventType;
import org.gaugehollow.job.Cancellation;
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
    /** Jobs whose progress cannot be read: what of them runs is not known, so nothing is started. */
    private final Set<String> unreadable = ConcurrentHashMap.newKeySet();
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
    boolean isListingComplete()
    {
        return listed;
    }

    /** Reads what earlier owners recorded; comes before the jobs are followed. */
    void readProgress() throws InterruptedException
    {
        while (!term.lease().hasEnded())
        {
            try
            {
                recorded = readAll(store.list(JobKeys.PROGRESS).values());
                return;
            }
            catch (GaugehollowException e)
            {
                Thread.sleep(LOAD_RETRY_MILLIS);
            }
        }
    }

    private Map<String, JobProgress> readAll(List<StoredValue> values)
    {
        Map<String, JobProgress> found = new HashMap<>();
        for (StoredValue value : values)
        {
            String id = value.key().substring(JobKeys.PROGRESS.length());
            try
            {
                found.put(id, JobCodec.readProgress(value.value()));
            }
            catch (GaugehollowException e)
            {
                unreadable.add(id);
                term.events().record(EventType.JOB_UNREADABLE, id, "its progress: " + e.getMessage());
            }
        }
        return found;
    }

    /**
     * A box has written the record of a job. It is read if the watch does not tell of it soon, with the
     * job's cancellation; a watch may hear nothing for a while though the store answers.
     */
    void onJobWritten(String job)
    {
        OwnerTerm.inBackground("written-" + job, () -> readUnless(job, term.cellState()::knows));
    }

    /**
     * A box has written the cancellation of a job, which is read likewise. Else what runs of the job
     * goes on until the watch is opened anew, 2.7 s at most.
     */
    void onJobCancelled(String job)
    {
        OwnerTerm.inBackground("cancelled-" + job, () -> readUnless(job, term.cellState()::knowsCancelled));
    }

    private void readUnless(String job, Predicate<String> isKnown) throws InterruptedException
    {
        Thread.sleep(WATCH_MILLIS);
        if (!listed || term.lease().hasEnded() || isKnown(job, isKnown))
        {
            return;
        }
        try
        {
            List<StoredValue> found = HedgedCall.read(() -> store.list(JobKeys.jobPrefix(job))).values();
            boolean there = found.stream().anyMatch(value -> value.key().equals(JobKeys.job(job)));
            if (there)
            {
                putWhole(found);
            }
            term.events().record(EventType.JOB_READ, job, there ? "" : "its record is gone");
        }
        catch (GaugehollowException e)
        {
            term.events().record(EventType.JOB_READ, job, "failed: " + e.getMessage());
        }
    }

    /** The cancellation comes first, so that nothing of a cancelled job is started. */
    private void putWhole(List<StoredValue> values)
    {
        values.forEach(value -> JobKeys.idOfCancel(value.key()).ifPresent(id -> cancel(id, value.value())));
        values.forEach(value -> JobKeys.idOfJob(value.key())
                .ifPresent(id -> accept(id, value.value(), value.modRevision())));
    }

    private boolean isKnown(String job, Predicate<String> isKnown)
    {
        synchronized (term.cellState())
        {
            return isKnown.test(job);
        }
    }

    @Override
    public void onPut(String key, byte[] value, long revision)
    {
        JobKeys.idOfJob(key).ifPresent(id -> accept(id, value, revision));
        JobKeys.idOfCancel(key).ifPresent(id -> cancel(id, value));
    }

    private void accept(String id, byte[] value, long revision)
    {
        if (unreadable.contains(id))
        {
            return;
        }
        try
        {
            Effects effects;
            synchronized (term.cellState())
            {
                effects = term.cellState().accept(JobCodec.readRecord(value), revision, recorded.get(id),
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

    private void cancel(String id, byte[] value)
    {
        Effects effects;
        synchronized (term.cellState())
        {
            effects = term.cellState().cancel(id, Cancellation.read(value));
        }
        term.apply(effects);
    }

    @Override
    public void onRemoved(String key, long revision)
    {
        synchronized (term.cellState())
        {
            JobKeys.idOfJob(key).ifPresent(term.cellState()::forget);
            JobKeys.idOfCancel(key).ifPresent(term.cellState()::forget);
        }
    }

    @Override
    public void onListed(long revision)
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
