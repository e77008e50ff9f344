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

/** Reads accepted and cancelled jobs and their recorded progress into the cell state of a term. */
final class JobReader implements KeyFollower.Listener
{
    private static final long LOAD_RETRY_MILLIS = 60;
    /** Time for the watch to deliver a job that a peer has reported. */
    private static final long WATCH_GRACE_MILLIS = 150;

    private final OwnerTerm term;
    private final PlatformStore store;
    private final Runnable onListingComplete;
    /** Jobs with unreadable progress. They are not started, because their runs are unknown. */
    private final Set<String> unreadable = ConcurrentHashMap.newKeySet();
    private Map<String, JobProgress> recordedProgress = Map.of();
    private volatile boolean listingComplete;

    /**
     * @param term the term
     * @param store the platform's store
     * @param onListingComplete called once all jobs are known
     */
    JobReader(OwnerTerm term, PlatformStore store, Runnable onListingComplete)
    {
        this.term = term;
        this.store = store;
        this.onListingComplete = onListingComplete;
    }

    /** Returns whether all jobs that existed at the start of the term were read. */
    boolean isListingComplete()
    {
        return listingComplete;
    }

    /** Reads the progress recorded by earlier owners. Must be called before the jobs are followed. */
    void readProgress() throws InterruptedException
    {
        while (!term.lease().hasEnded())
        {
            try
            {
                recordedProgress = parseProgress(store.list(JobKeys.PROGRESS).values());
                return;
            }
            catch (GaugehollowException e)
            {
                Thread.sleep(LOAD_RETRY_MILLIS);
            }
        }
    }

    private Map<String, JobProgress> parseProgress(List<StoredValue> values)
    {
        Map<String, JobProgress> progressById = new HashMap<>();
        for (StoredValue value : values)
        {
            String id = value.key().substring(JobKeys.PROGRESS.length());
            try
            {
                progressById.put(id, JobCodec.readProgress(value.value()));
            }
            catch (GaugehollowException e)
            {
                unreadable.add(id);
                term.events().record(EventType.JOB_UNREADABLE, id, "progress: " + e.getMessage());
            }
        }
        return progressById;
    }

    /**
     * Handles the notification that a job record was written. Reads the job and its cancellation if the
     * watch does not deliver them soon; a watch may be interrupted while the store answers.
     */
    void onJobWritten(String job)
    {
        OwnerTerm.inBackground("written-" + job, () -> readUnlessKnown(job, term.cellState()::isKnown));
    }

    /**
     * Handles the notification that a job was cancelled. Reads the cancellation if the watch does not
     * deliver it soon. Otherwise the runs of the job would continue until an interrupted watch is
     * opened again, which takes up to 2.7 s.
     */
    void onJobCancelled(String job)
    {
        OwnerTerm.inBackground("cancelled-" + job,
                () -> readUnlessKnown(job, term.cellState()::isKnownCancelled));
    }

    private void readUnlessKnown(String job, Predicate<String> isKnown) throws InterruptedException
    {
        Thread.sleep(WATCH_GRACE_MILLIS);
        if (!listingComplete || term.lease().hasEnded() || isKnown(job, isKnown))
        {
            return;
        }
        try
        {
            List<StoredValue> values = HedgedCall.read(() -> store.list(JobKeys.jobPrefix(job))).values();
            boolean exists = values.stream().anyMatch(value -> value.key().equals(JobKeys.job(job)));
            if (exists)
            {
                applyValues(values);
            }
            term.events().record(EventType.JOB_READ, job, exists ? "" : "record not found");
        }
        catch (GaugehollowException e)
        {
            term.events().record(EventType.JOB_READ, job, "failed: " + e.getMessage());
        }
    }

    /**
     * Applies the values of a job. The cancellation is applied first, so that no task of a cancelled
     * job is started.
     */
    private void applyValues(List<StoredValue> values)
    {
        values.forEach(
                value -> JobKeys.idOfCancellationKey(value.key()).ifPresent(id -> cancel(id, value.value())));
        values.forEach(value -> JobKeys.idOfRecordKey(value.key())
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
        JobKeys.idOfRecordKey(key).ifPresent(id -> accept(id, value, revision));
        JobKeys.idOfCancellationKey(key).ifPresent(id -> cancel(id, value));
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
                effects = term.cellState().accept(JobCodec.readRecord(value), revision,
                        recordedProgress.get(id), System.currentTimeMillis());
            }
            term.apply(effects);
            term.wake();
        }
        catch (GaugehollowException e)
        {
            if (recordedProgress.containsKey(id))
            {
                unreadable.add(id);
            }
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
            JobKeys.idOfRecordKey(key).ifPresent(term.cellState()::onRecordRemoved);
            JobKeys.idOfCancellationKey(key).ifPresent(term.cellState()::onRecordRemoved);
        }
    }

    @Override
    public void onListed(long revision)
    {
        recordedProgress = Map.of();
        if (!listingComplete)
        {
            listingComplete = true;
            onListingComplete.run();
        }
        term.wake();
    }
}
