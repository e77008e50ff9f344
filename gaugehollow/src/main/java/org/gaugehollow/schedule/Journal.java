/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Writes the progress of jobs in groups, one transaction at a time. Each transaction requires that
 * this box is still the owner and that no other write took effect since the previous one, so a late
 * write can never overwrite a newer one.
 */
final class Journal implements SupervisedTask
{
    /** Maximum number of records in a transaction, in addition to the keys of owner and journal. */
    private static final int MAX_RECORDS = 28;
    private static final int RETRY_MILLIS = 60;
    /** Minimum time between the starts of two writes. */
    private static final int MIN_WRITE_INTERVAL_MILLIS = 25;
    /** Maximum age of the journal's key while leases of earlier terms may last. */
    private static final long MARK_INTERVAL_MILLIS = 2_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Jobs that were enqueued together. */
    private static final class Batch
    {
        private final Runnable onWritten;
        private int remaining;

        Batch(Runnable onWritten, int jobs)
        {
            this.onWritten = onWritten;
            this.remaining = jobs;
        }

        void onJobWritten()
        {
            remaining--;
            if (remaining == 0)
            {
                onWritten.run();
            }
        }
    }

    private final PlatformStore store;
    private final CellState cellState;
    private final OwnerLease owner;
    private final EarlierLeases earlierLeases;
    private final EventLog events;
    private final Map<Job, List<Batch>> pendingJobs = new LinkedHashMap<>();
    private long journalRevision;
    private long writeCount;
    private long lastWriteNanos = SteadyClock.nanos();
    private boolean markRequested;

    /**
     * @param store the platform's store
     * @param cellState state that holds the jobs
     * @param owner this box's term
     * @param earlierLeases leases of earlier terms, of which each write tells the next owner
     * @param events log for store failures
     */
    Journal(PlatformStore store, CellState cellState, OwnerLease owner, EarlierLeases earlierLeases,
            EventLog events)
    {
        this.store = store;
        this.cellState = cellState;
        this.owner = owner;
        this.earlierLeases = earlierLeases;
        this.events = events;
        this.journalRevision = owner.fence();
    }

    /**
     * Enqueues jobs whose progress is to be written.
     *
     * @param jobs the jobs
     * @param onWritten called once the progress of all jobs is stored; at once if there are none
     */
    void enqueue(Collection<Job> jobs, Runnable onWritten)
    {
        if (jobs.isEmpty())
        {
            onWritten.run();
            return;
        }
        Batch batch = new Batch(onWritten, jobs.size());
        synchronized (pendingJobs)
        {
            jobs.forEach(job -> pendingJobs.computeIfAbsent(job, key -> new ArrayList<>()).add(batch));
            pendingJobs.notifyAll();
        }
    }

    /** Enqueues jobs whose progress is to be written. */
    void enqueue(Collection<Job> jobs)
    {
        enqueue(jobs, () ->
        {
        });
    }

    /** Requests a write of the journal's key, because less is to be told of earlier terms. */
    void requestMark()
    {
        synchronized (pendingJobs)
        {
            markRequested = true;
            pendingJobs.notifyAll();
        }
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            Map<Job, List<Batch>> group = takeGroup();
            long startNanos = SteadyClock.nanos();
            try
            {
                writeUntilDone(group);
            }
            catch (RuntimeException e)
            {
                putBack(group);
                throw e;
            }
            group.forEach(this::completeWrite);
            pauseAfter(startNanos);
        }
    }

    /**
     * Enqueues a group again whose write failed unexpectedly; it is written once this task restarts.
     */
    private void putBack(Map<Job, List<Batch>> group)
    {
        synchronized (pendingJobs)
        {
            group.forEach((job, batches) -> pendingJobs.computeIfAbsent(job, key -> new ArrayList<>())
                    .addAll(batches));
        }
    }

    /** Waits for further changes, so that one write carries many. */
    private static void pauseAfter(long startNanos) throws InterruptedException
    {
        long elapsedMillis = (SteadyClock.nanos() - startNanos) / NANOS_PER_MILLI;
        if (elapsedMillis < MIN_WRITE_INTERVAL_MILLIS)
        {
            Thread.sleep(MIN_WRITE_INTERVAL_MILLIS - elapsedMillis);
        }
    }

    private Map<Job, List<Batch>> takeGroup() throws InterruptedException
    {
        synchronized (pendingJobs)
        {
            while (pendingJobs.isEmpty() && !isMarkDue())
            {
                pendingJobs.wait(MARK_INTERVAL_MILLIS);
            }
            markRequested = false;
            Map<Job, List<Batch>> group = new LinkedHashMap<>();
            int records = 0;
            for (Map.Entry<Job, List<Batch>> entry : pendingJobs.entrySet())
            {
                records += recordCount(entry.getKey());
                if (records > MAX_RECORDS)
                {
                    break;
                }
                group.put(entry.getKey(), entry.getValue());
            }
            group.keySet().forEach(pendingJobs::remove);
            return group;
        }
    }

    /** Returns whether the journal's key is to be written although no job has changed. */
    private boolean isMarkDue()
    {
        return markRequested || earlierLeases.remainingMillis() > 0
                && SteadyClock.nanos() - lastWriteNanos >= MARK_INTERVAL_MILLIS * NANOS_PER_MILLI;
    }

    /**
     * Returns the number of records to write: the progress and, if the job has ended, its tombstone.
     */
    private static int recordCount(Job job)
    {
        return job.state().isFinal() ? 2 : 1;
    }

    private void completeWrite(Job job, List<Batch> batches)
    {
        synchronized (cellState)
        {
            job.endWrite();
            cellState.dropIfFinished(job);
        }
        batches.forEach(Batch::onJobWritten);
    }

    private void writeUntilDone(Map<Job, List<Batch>> group) throws InterruptedException
    {
        boolean isDelayReported = false;
        while (true)
        {
            try
            {
                if (writeOnce(group.keySet()))
                {
                    return;
                }
            }
            catch (GaugehollowException e)
            {
                if (!isDelayReported)
                {
                    isDelayReported = true;
                    events.record(EventType.PROGRESS_DELAYED, owner.box(), e.getMessage());
                }
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    private boolean writeOnce(Collection<Job> jobs) throws InterruptedException
    {
        writeCount++;
        StoreTransaction transaction = new StoreTransaction().require(JobKeys.OWNER, owner.ownerRevision())
                .require(JobKeys.JOURNAL, journalRevision)
                .put(JobKeys.JOURNAL, Json.write(earlierLeases.mark(owner, writeCount)));
        synchronized (cellState)
        {
            addRecords(jobs, transaction);
        }
        Optional<Long> revision = HedgedCall.write(() -> store.commit(transaction));
        if (revision.isPresent())
        {
            journalRevision = revision.get();
            lastWriteNanos = SteadyClock.nanos();
            return true;
        }
        readRevision();
        return false;
    }

    /**
     * Adds the records of the jobs. A job that ended after the group was taken is enqueued again, so
     * its tombstone may be left to the next write if the transaction is full.
     */
    private static void addRecords(Collection<Job> jobs, StoreTransaction transaction)
    {
        int remainingRecords = MAX_RECORDS - jobs.size();
        for (Job job : jobs)
        {
            job.beginWrite();
            transaction.put(JobKeys.progress(job.id()), JobCodec.writeProgress(job.progress()));
            if (job.isFinished() && remainingRecords > 0)
            {
                transaction.put(JobKeys.job(job.id()), JobCodec.writeRecord(job.record().toTombstone()));
                remainingRecords--;
            }
        }
    }

    /**
     * Reads the journal's revision after another write took effect: a late or repeated write of this
     * owner, or one of a newer owner.
     */
    private void readRevision() throws InterruptedException
    {
        Optional<StoredValue> ownerKey = HedgedCall.read(() -> store.get(JobKeys.OWNER));
        if (ownerKey.isEmpty() || ownerKey.get().modRevision() != owner.ownerRevision())
        {
            owner.end("owner's key was written by another box");
            throw new GaugehollowException(ResultCode.NO_RIGHTS, "this box is no longer the owner");
        }
        journalRevision = HedgedCall.read(() -> store.get(JobKeys.JOURNAL)).map(StoredValue::modRevision)
                .orElse(0L);
    }
}
