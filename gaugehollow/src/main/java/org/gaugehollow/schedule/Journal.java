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
 * Writes the progress of jobs in groups, one transaction after the other. Each transaction holds
 * only if this box still is the owner and if no other one took effect since the one before, so a
 * write that the store carries out late can never undo a newer one.
 */
final class Journal implements SupervisedTask
{
    /** How many records fit into a transaction beside the keys of owner and journal. */
    private static final int MOST_RECORDS = 28;
    private static final int RETRY_MILLIS = 60;
    /** The shortest time from one write to the next. */
    private static final int PERIOD_MILLIS = 25;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Jobs that were marked together. */
    private static final class Batch
    {
        private final Runnable onWritten;
        private int left;

        Batch(Runnable onWritten, int jobs)
        {
            this.onWritten = onWritten;
            this.left = jobs;
        }

        void written()
        {
            left--;
            if (left == 0)
            {
                onWritten.run();
            }
        }
    }

    private final PlatformStore store;
    private final CellState ledger;
    private final OwnerLease owner;
    private final EventLog events;
    private final Map<Job, List<Batch>> marked = new LinkedHashMap<>();
    private long journalRevision;
    private long writes;

    /**
     * @param store the platform's store
     * @param ledger what is written
     * @param owner this box's ownership, under which it writes
     * @param events where trouble with the store is recorded
     */
    Journal(PlatformStore store, CellState ledger, OwnerLease owner, EventLog events)
    {
        this.store = store;
        this.ledger = ledger;
        this.owner = owner;
        this.events = events;
        this.journalRevision = owner.fence();
    }

    /**
     * Writes the jobs' progress soon.
     *
     * @param jobs the jobs
     * @param onWritten runs once the store has the progress of all of them; at once if there are none
     */
    void mark(Collection<Job> jobs, Runnable onWritten)
    {
        if (jobs.isEmpty())
        {
            onWritten.run();
            return;
        }
        Batch batch = new Batch(onWritten, jobs.size());
        synchronized (marked)
        {
            jobs.forEach(job -> marked.computeIfAbsent(job, key -> new ArrayList<>()).add(batch));
            marked.notifyAll();
        }
    }

    /** Writes the jobs' progress soon. */
    void mark(Collection<Job> jobs)
    {
        mark(jobs, () ->
        {
        });
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            Map<Job, List<Batch>> group = take();
            long begunNanos = SteadyClock.nanos();
            writeUntilDone(group);
            group.forEach(this::written);
            pauseAfter(begunNanos);
        }
    }

    /** Lets changes gather for a moment, so that one write carries many. */
    private static void pauseAfter(long begunNanos) throws InterruptedException
    {
        long sinceMillis = (SteadyClock.nanos() - begunNanos) / NANOS_PER_MILLI;
        if (sinceMillis < PERIOD_MILLIS)
        {
            Thread.sleep(PERIOD_MILLIS - sinceMillis);
        }
    }

    private Map<Job, List<Batch>> take() throws InterruptedException
    {
        synchronized (marked)
        {
            while (marked.isEmpty())
            {
                marked.wait();
            }
            Map<Job, List<Batch>> group = new LinkedHashMap<>();
            int records = 0;
            for (Map.Entry<Job, List<Batch>> entry : marked.entrySet())
            {
                records += recordsOf(entry.getKey());
                if (records > MOST_RECORDS)
                {
                    break;
                }
                group.put(entry.getKey(), entry.getValue());
            }
            group.keySet().forEach(marked::remove);
            return group;
        }
    }

    /** Its progress, and the short record of a job that is over. */
    private static int recordsOf(Job job)
    {
        return job.state().isFinal() ? 2 : 1;
    }

    private void written(Job job, List<Batch> batches)
    {
        synchronized (ledger)
        {
            job.endWrite();
            ledger.dropIfFinished(job);
        }
        batches.forEach(Batch::written);
    }

    private void writeUntilDone(Map<Job, List<Batch>> group) throws InterruptedException
    {
        boolean troubled = false;
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
                if (!troubled)
                {
                    troubled = true;
                    events.record(EventType.PROGRESS_DELAYED, owner.box(), e.getMessage());
                }
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    private boolean writeOnce(Collection<Job> jobs) throws InterruptedException
    {
        writes++;
        StoreTransaction transaction = new StoreTransaction().require(JobKeys.OWNER, owner.ownerRevision())
                .require(JobKeys.JOURNAL, journalRevision)
                .put(JobKeys.JOURNAL, Json.write(new JournalMark(owner.box(), writes, owner.fence())));
        synchronized (ledger)
        {
            put(jobs, transaction);
        }
        Optional<Long> revision = HedgedCall.write(() -> store.commit(transaction));
        if (revision.isPresent())
        {
            journalRevision = revision.get();
            return true;
        }
        readRevision();
        return false;
    }

    /**
     * A job that came to its end after the group was taken is marked again for that, so its record may
     * wait where there is no room.
     */
    private static void put(Collection<Job> jobs, StoreTransaction transaction)
    {
        int room = MOST_RECORDS - jobs.size();
        for (Job job : jobs)
        {
            job.beginWrite();
            transaction.put(JobKeys.progress(job.id()), JobCodec.writeProgress(job.progress()));
            if (job.isFinished() && room > 0)
            {
                transaction.put(JobKeys.job(job.id()), JobCodec.writeRecord(job.record().toTombstone()));
                room--;
            }
        }
    }

    /**
     * Another write took effect: a late one of this owner, or the same one sent before, or one of a
     * newer owner.
     */
    private void readRevision() throws InterruptedException
    {
        Optional<StoredValue> ownerKey = HedgedCall.read(() -> store.get(JobKeys.OWNER));
        if (ownerKey.isEmpty() || ownerKey.get().modRevision() != owner.ownerRevision())
        {
            owner.end("another box wrote the owner's key");
            throw new GaugehollowException(ResultCode.NO_RIGHTS, "this box is no longer the owner");
        }
        journalRevision = HedgedCall.read(() -> store.get(JobKeys.JOURNAL)).map(StoredValue::modRevision)
                .orElse(0L);
    }

    /**
     * The term that wrote the journal's key last. A term's first value is no {@link JournalMark}, but
     * lies there since the write that began the term, whose revision is its token.
     *
     * @param journal the journal's key
     * @return the term's fencing token, or {@link OwnerLease#UNKNOWN_FENCE} where the value names none
     */
    static long fenceOf(StoredValue journal)
    {
        try
        {
            return Json.read(journal.value(), JournalMark.class, ResultCode.STORE_BAD_ANSWER).fence();
        }
        catch (GaugehollowException e)
        {
            return journal.modRevision();
        }
    }

    /**
     * The value of the journal's key.
     *
     * @param box the box that wrote it
     * @param write rises with each write
     * @param fence the fencing token of the box's term
     */
    record JournalMark(String box, long write, long fence)
    {
    }
}
