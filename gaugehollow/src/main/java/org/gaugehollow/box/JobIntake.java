/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.Map;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.Cancellation;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TryOutcomes;
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.time.SteadyClock;

import com.fasterxml.jackson.core.type.TypeReference;

/**
 * What callers ask about jobs. Every box answers alike, from the store: accepting a job is one
 * conditional write of its record, so neither an owner nor a peer is needed.
 */
public final class JobIntake
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long ANSWER_MARGIN_NANOS = 150 * NANOS_PER_MILLI;
    private static final int RETRY_DELAY_MILLIS = 30;
    private static final TypeReference<Map<String, Integer>> COUNTS_TYPE = new TypeReference<>()
    {
    };

    private final MonitoredStore store;
    private final JobListener listener;
    private final EventLog events;
    private final Metrics metrics;

    /**
     * @param store the platform's store
     * @param listener is told of each job whose record or cancellation this box wrote
     * @param events where each decision is recorded
     * @param metrics counts and times the calls
     */
    public JobIntake(MonitoredStore store, JobListener listener, EventLog events, Metrics metrics)
    {
        this.store = store;
        this.listener = listener;
        this.events = events;
        this.metrics = metrics;
    }

    /** One call of a caller. */
    private interface Call<T>
    {
        T run() throws InterruptedException;
    }

    private <T> T timed(String name, Call<T> call) throws InterruptedException
    {
        long startNanos = SteadyClock.nanos();
        ResultCode code = ResultCode.INTERNAL;
        try
        {
            T result = call.run();
            code = ResultCode.OK;
            return result;
        }
        catch (GaugehollowException e)
        {
            code = e.code();
            throw e;
        }
        finally
        {
            metrics.jobCall(name, code.name(), SteadyClock.nanos() - startNanos);
        }
    }

    /** One conditional write, which may be sent again under the same condition. */
    private interface Write
    {
        void run() throws InterruptedException;
    }

    /**
     * Accepts a job; one whose id is known already stays as it is.
     *
     * @param scope the queue, and whose job it is
     * @param id the job's id
     * @param job what is to be run
     * @param deadlineNanos until when the caller waits, on {@link SteadyClock#nanos}
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code STORE_UNAVAILABLE} if this call surely did not accept the job
     *             and never will, {@code STORE_OUTCOME_UNKNOWN} if it may have or may yet,
     *             {@code JOB_CONFLICT} if the id belongs to another customer's job
     */
    public void submit(JobScope scope, String id, JobSpec job, long deadlineNanos) throws InterruptedException
    {
        timed("submit", () -> accept(scope, id, job, deadlineNanos));
    }

    private boolean accept(JobScope scope, String id, JobSpec job, long deadlineNanos)
            throws InterruptedException
    {
        requireResponsiveStore(id);
        byte[] record = JobCodec.writeRecord(
                new JobRecord(id, scope.queue(), job, System.currentTimeMillis(), scope.customer()));
        StoreTransaction write = new StoreTransaction().require(JobKeys.job(id), 0).put(JobKeys.job(id),
                record);
        boolean[] created = new boolean[1];
        writeUntilSettled(() -> created[0] = HedgedCall.write(() -> store.commit(write)).isPresent(), id,
                deadlineNanos);
        if (!created[0] && scope.customer() != null)
        {
            requireSameCustomer(scope, id);
        }
        listener.onJobWritten(id);
        events.record(EventType.JOB_ACCEPTED, id, scope.queue().name() + customerSuffix(scope.customer())
                + (created[0] ? "" : ", known already"));
        return created[0];
    }

    private static String customerSuffix(String customer)
    {
        return customer == null ? "" : " of " + customer;
    }

    /** An id that another customer's job has is not this caller's; its own job was not taken. */
    private void requireSameCustomer(JobScope scope, String id) throws InterruptedException
    {
        Optional<String> owner = readAfterWrite(id).map(JobRecord::customer);
        if (owner.isPresent() && !owner.get().equals(scope.customer()))
        {
            events.record(EventType.JOB_REFUSED, id,
                    ResultCode.JOB_CONFLICT + ": asked for by " + scope.customer());
            throw new GaugehollowException(ResultCode.JOB_CONFLICT, "the id " + id + " is taken");
        }
    }

    /**
     * Nothing is sent to a store that does not answer: the caller is told at once when to come back.
     */
    private void requireResponsiveStore(String id)
    {
        if (store.isUnresponsive())
        {
            events.record(EventType.JOB_REFUSED, id, ResultCode.STORE_UNAVAILABLE + ": the store is silent");
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE,
                    "the platform's store does not answer; this try changed nothing");
        }
    }

    /** By now the caller's own write may have taken effect, so nothing may be told as not run. */
    private Optional<JobRecord> readAfterWrite(String id) throws InterruptedException
    {
        try
        {
            return findRecord(id, listJob(id)).map(value -> JobCodec.readRecord(value.value()));
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN,
                    "whose job has this id could not be read: " + e.getMessage(), e);
        }
    }

    private void writeUntilSettled(Write write, String id, long deadlineNanos) throws InterruptedException
    {
        TryOutcomes attempts = new TryOutcomes();
        while (true)
        {
            try
            {
                write.run();
                return;
            }
            catch (GaugehollowException e)
            {
                attempts.add(e);
                boolean deadlineNear = deadlineNanos - SteadyClock.nanos() < ANSWER_MARGIN_NANOS;
                if (!attempts.mayRun() || deadlineNear || store.isUnresponsive())
                {
                    GaugehollowException failure = attempts.failure();
                    events.record(EventType.JOB_REFUSED, id, failure.code() + ": " + failure.getMessage());
                    throw failure;
                }
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Cancels a job.
     *
     * @param scope the queue, and whose jobs the caller may change
     * @param id the job's id
     * @param deadlineNanos until when the caller waits, on {@link SteadyClock#nanos}
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code UNKNOWN_JOB} if there is no such job in the scope
     */
    public void cancel(JobScope scope, String id, long deadlineNanos) throws InterruptedException
    {
        timed("cancel", () -> writeCancellation(scope, id, deadlineNanos));
    }

    private boolean writeCancellation(JobScope scope, String id, long deadlineNanos)
            throws InterruptedException
    {
        requireResponsiveStore(id);
        StoreListing listing = listJob(id);
        if (findRecord(id, listing).isEmpty())
        {
            if (cancelIfAbsent(scope, id, deadlineNanos))
            {
                throw unknownJob(scope, id, listing.revision());
            }
            listing = listJob(id);
        }
        requireRecord(scope, id, listing);
        StoreTransaction write = new StoreTransaction().put(JobKeys.cancel(id),
                Cancellation.of(scope).write());
        writeUntilSettled(() -> HedgedCall.write(() -> store.commit(write)), id, deadlineNanos);
        events.record(EventType.JOB_CANCELLED, id, scope.queue().name() + customerSuffix(scope.customer()));
        listener.onJobCancelled(id);
        return true;
    }

    /**
     * Writes the cancellation of a job that is not there. Its record may still be on the way from a
     * submission without an answer; carried out after the caller was told that there is no such job, it
     * would run all the same.
     *
     * @return whether there still was no record
     */
    private boolean cancelIfAbsent(JobScope scope, String id, long deadlineNanos) throws InterruptedException
    {
        StoreTransaction write = new StoreTransaction().require(JobKeys.job(id), 0).put(JobKeys.cancel(id),
                Cancellation.of(scope).write());
        boolean[] written = new boolean[1];
        writeUntilSettled(() -> written[0] = HedgedCall.write(() -> store.commit(write)).isPresent(), id,
                deadlineNanos);
        return written[0];
    }

    /**
     * @param scope the queue, and whose jobs the caller may see
     * @param id the job's id
     * @return the job's state
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code UNKNOWN_JOB} if there is no such job in the scope
     */
    public JobState state(JobScope scope, String id) throws InterruptedException
    {
        return timed("state", () -> readState(scope, id));
    }

    private JobState readState(JobScope scope, String id) throws InterruptedException
    {
        requireResponsiveStore(id);
        Optional<StoredValue> stored = HedgedCall.read(() -> store.get(JobKeys.progress(id)));
        if (stored.isPresent())
        {
            JobProgress progress = JobCodec.readProgress(stored.get().value());
            requireInScope(scope, id, progress.queue(), progress.customer(), stored.get().modRevision());
            return progress.state();
        }
        StoreListing listing = listJob(id);
        JobRecord record = requireRecord(scope, id, listing);
        boolean cancelled = listing.values().stream().filter(v -> v.key().equals(JobKeys.cancel(id)))
                .anyMatch(v -> Cancellation.read(v.value()).appliesTo(record));
        return cancelled ? JobState.CANCELLED : JobState.QUEUED;
    }

    private StoreListing listJob(String id) throws InterruptedException
    {
        return HedgedCall.read(() -> store.list(JobKeys.jobPrefix(id)));
    }

    /** Another customer's job is answered as one that is not there: neither tells of the other. */
    private void requireInScope(JobScope scope, String id, String queue, String customer, long revision)
    {
        if (!scope.covers(queue, customer))
        {
            throw unknownJob(scope, id, revision);
        }
    }

    private GaugehollowException unknownJob(JobScope scope, String id, long revision)
    {
        String queue = scope.queue().name();
        events.record(EventType.JOB_REFUSED, id, ResultCode.UNKNOWN_JOB + ": not in " + queue
                + customerSuffix(scope.customer()) + " at revision " + revision);
        return new GaugehollowException(ResultCode.UNKNOWN_JOB, "no job " + id + " in " + queue);
    }

    private JobRecord requireRecord(JobScope scope, String id, StoreListing listing)
    {
        StoredValue value = findRecord(id, listing)
                .orElseThrow(() -> unknownJob(scope, id, listing.revision()));
        JobRecord record = JobCodec.readRecord(value.value());
        requireInScope(scope, id, record.queue().name(), record.customer(), value.modRevision());
        return record;
    }

    private static Optional<StoredValue> findRecord(String id, StoreListing listing)
    {
        return listing.values().stream().filter(value -> value.key().equals(JobKeys.job(id))).findFirst();
    }

    /**
     * @param queue the queue
     * @return how many of its jobs have not begun, as the owner counted them last
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code COUNT_UNKNOWN} while no owner counts them
     */
    public int pending(QueueSpec queue) throws InterruptedException
    {
        requireResponsiveStore(queue.name());
        Optional<StoredValue> stored = HedgedCall.read(() -> store.get(JobKeys.SUMMARY));
        if (stored.isEmpty())
        {
            throw new GaugehollowException(ResultCode.COUNT_UNKNOWN, "no box owns the cell at the moment");
        }
        try
        {
            return Json.mapper().readValue(stored.get().value(), COUNTS_TYPE).getOrDefault(queue.name(), 0);
        }
        catch (java.io.IOException e)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER, "the counts cannot be read", e);
        }
    }
}
