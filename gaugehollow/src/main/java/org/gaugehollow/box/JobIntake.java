/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.Cancellation;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.model.AttemptOutcomes;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.time.SteadyClock;

import com.fasterxml.jackson.core.type.TypeReference;

/**
 * Accepts, cancels and reports jobs. Every box can serve every call from the store alone: accepting
 * a job is one conditional write of its record, so neither the owner nor a peer is involved.
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
    private final Admission admission;
    private final QueueAddresses addresses;
    private final EventLog events;
    private final Metrics metrics;

    /**
     * @param store monitored store of the platform
     * @param listener notified of each job record or cancellation written by this box
     * @param events event log
     * @param metrics receives the count and duration of calls
     */
    public JobIntake(MonitoredStore store, JobListener listener, EventLog events, Metrics metrics)
    {
        this(store, listener, Admission.OPEN, events, metrics);
    }

    JobIntake(MonitoredStore store, JobListener listener, Admission admission, EventLog events,
            Metrics metrics)
    {
        this.admission = admission;
        this.store = store;
        this.addresses = new QueueAddresses(store);
        this.listener = listener;
        this.events = events;
        this.metrics = metrics;
    }

    /** An operation whose duration and result code are measured. */
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
            metrics.recordJobCall(name, code.name(), SteadyClock.nanos() - startNanos);
        }
    }

    /** A conditional write that is safe to retry. */
    private interface Write
    {
        void run() throws InterruptedException;
    }

    /**
     * Accepts a job. A job that is already stored under the id is left unchanged.
     *
     * @param scope queue and customer of the job
     * @param id id of the job
     * @param job specification of the job
     * @param deadlineNanos the caller's deadline on {@link SteadyClock#nanos}
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException {@code STORE_UNAVAILABLE} or {@code BACKLOG_TOO_LONG} if this call
     *             did not and will not accept the job, {@code STORE_OUTCOME_UNKNOWN} if it may have
     *             accepted it or may still do so, {@code JOB_CONFLICT} if the id belongs to another
     *             customer's job
     */
    public void submit(JobScope scope, String id, JobSpec job, long deadlineNanos) throws InterruptedException
    {
        timed("submit", () -> accept(scope, id, job, deadlineNanos));
    }

    private boolean accept(JobScope scope, String id, JobSpec job, long deadlineNanos)
            throws InterruptedException
    {
        requireResponsiveStore(id);
        Optional<Admission.Refusal> refusal = admission.decide(scope, job, deadlineNanos);
        if (refusal.isPresent() && isKnownAbsent(id))
        {
            throw refusedFor(refusal.get(), scope, id);
        }
        byte[] record = JobCodec.writeRecord(
                new JobRecord(id, scope.queue(), job, System.currentTimeMillis(), scope.customer()));
        StoreTransaction write = new StoreTransaction().require(JobKeys.job(id), 0).put(JobKeys.job(id),
                record);
        addresses.addTo(write, scope);
        boolean[] created = new boolean[1];
        writeUntilSettled(() -> created[0] = HedgedCall.write(() -> store.commit(write)).isPresent(), id,
                deadlineNanos);
        if (!created[0] && scope.customer() != null)
        {
            requireSameCustomer(scope, id);
        }
        if (created[0])
        {
            admission.onAccepted(scope, job);
            addresses.onAccepted(scope);
        }
        listener.onJobWritten(id);
        events.record(EventType.JOB_ACCEPTED, id, scope.queue().name() + customerSuffix(scope.customer())
                + (created[0] ? "" : ", already known"));
        return created[0];
    }

    /**
     * Returns whether the store confirms that there is no record of the job. An accepted job must not
     * be refused when it is submitted again; without an answer nothing can be promised.
     */
    private boolean isKnownAbsent(String id) throws InterruptedException
    {
        try
        {
            return HedgedCall.read(() -> store.get(JobKeys.job(id))).isEmpty();
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.JOB_REFUSED, id,
                    "not refused for the backlog, since its record can't be read: " + e.getMessage());
            return false;
        }
    }

    private GaugehollowException refusedFor(Admission.Refusal refusal, JobScope scope, String id)
    {
        int retrySeconds = refusal.retryDelay().getAsInt();
        metrics.jobsRefused().labelValues(scope.queue().name()).inc();
        events.record(EventType.JOB_REFUSED, id,
                ResultCode.BACKLOG_TOO_LONG + ": " + scope.queue().name() + customerSuffix(scope.customer())
                        + ", " + refusal.inputs() + ", retry after " + retrySeconds + " s");
        return new GaugehollowException(ResultCode.BACKLOG_TOO_LONG,
                "too much work waits; this request changed nothing",
                (int) TimeUnit.SECONDS.toMillis(retrySeconds));
    }

    private static String customerSuffix(String customer)
    {
        return customer == null ? "" : " of " + customer;
    }

    /** Throws {@code JOB_CONFLICT} if the id belongs to another customer's job. */
    private void requireSameCustomer(JobScope scope, String id) throws InterruptedException
    {
        Optional<String> jobCustomer = readAfterWrite(id).map(JobRecord::customer);
        if (jobCustomer.isPresent() && !jobCustomer.get().equals(scope.customer()))
        {
            events.record(EventType.JOB_REFUSED, id,
                    ResultCode.JOB_CONFLICT + ": requested by " + scope.customer());
            throw new GaugehollowException(ResultCode.JOB_CONFLICT, "job id " + id + " is already in use");
        }
    }

    /** Fails fast with a retryable error, without calling the store, while it is unresponsive. */
    private void requireResponsiveStore(String id)
    {
        if (store.isUnresponsive())
        {
            events.record(EventType.JOB_REFUSED, id,
                    ResultCode.STORE_UNAVAILABLE + ": the store is unresponsive");
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE,
                    "the platform's store is unresponsive; this request changed nothing");
        }
    }

    /** Reports every failure as an unknown outcome, since the caller's write may have taken effect. */
    private Optional<JobRecord> readAfterWrite(String id) throws InterruptedException
    {
        try
        {
            return findRecord(id, listJob(id)).map(value -> JobCodec.readRecord(value.value()));
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN,
                    "failed to read the job record after the write: " + e.getMessage(), e);
        }
    }

    private void writeUntilSettled(Write write, String id, long deadlineNanos) throws InterruptedException
    {
        AttemptOutcomes attempts = new AttemptOutcomes();
        while (true)
        {
            try
            {
                write.run();
                return;
            }
            catch (GaugehollowException e)
            {
                attempts.addFailure(e);
                boolean deadlineNear = deadlineNanos - SteadyClock.nanos() < ANSWER_MARGIN_NANOS;
                if (!attempts.mayHaveRun() || deadlineNear || store.isUnresponsive())
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
     * @param scope queue and customer to which the caller has access
     * @param id id of the job
     * @param deadlineNanos the caller's deadline on {@link SteadyClock#nanos}
     * @throws InterruptedException if the thread is interrupted
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
        JobRecord job = requireRecord(scope, id, listing);
        StoreTransaction write = new StoreTransaction().put(JobKeys.cancellation(id),
                new Cancellation(job.queue().name(), scope.customer()).write());
        writeUntilSettled(() -> HedgedCall.write(() -> store.commit(write)), id, deadlineNanos);
        events.record(EventType.JOB_CANCELLED, id, scope.queue().name() + customerSuffix(scope.customer()));
        listener.onJobCancelled(id);
        return true;
    }

    /**
     * Writes the cancellation of a job that has no record. A submission that was not answered may still
     * write the record later; the cancellation then keeps the job from running.
     *
     * @return whether the record was still absent
     */
    private boolean cancelIfAbsent(JobScope scope, String id, long deadlineNanos) throws InterruptedException
    {
        StoreTransaction write = new StoreTransaction().require(JobKeys.job(id), 0)
                .put(JobKeys.cancellation(id), Cancellation.of(scope).write());
        boolean[] written = new boolean[1];
        writeUntilSettled(() -> written[0] = HedgedCall.write(() -> store.commit(write)).isPresent(), id,
                deadlineNanos);
        return written[0];
    }

    /**
     * Returns the state of a job.
     *
     * @param scope queue and customer to which the caller has access
     * @param id id of the job
     * @return state of the job
     * @throws InterruptedException if the thread is interrupted
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
        boolean cancelled = listing.values().stream().filter(v -> v.key().equals(JobKeys.cancellation(id)))
                .anyMatch(v -> Cancellation.read(v.value()).appliesTo(record));
        return cancelled ? JobState.CANCELLED : JobState.QUEUED;
    }

    private StoreListing listJob(String id) throws InterruptedException
    {
        return HedgedCall.read(() -> store.list(JobKeys.jobPrefix(id)));
    }

    /**
     * Reports a job of another customer or queue as unknown, so that its existence is not disclosed. A
     * job stays known at its address if the queue there has another name by now.
     */
    private void requireInScope(JobScope scope, String id, String queue, String customer, long revision)
            throws InterruptedException
    {
        boolean isCovered = scope.covers(queue, customer)
                || scope.admits(customer) && addresses.wereAcceptedAt(scope, queue);
        if (!isCovered)
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
            throws InterruptedException
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
     * Returns the number of waiting jobs of a queue, including those accepted at the same address under
     * a name that the queue no longer has.
     *
     * @param scope the queue and its address
     * @param config the configuration in which the caller's route was found
     * @return number of jobs that have not started, as last counted by the owner
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException {@code COUNT_UNKNOWN} if no owner has published a count
     */
    public int pending(JobScope scope, CellConfig config) throws InterruptedException
    {
        int sum = 0;
        for (Map.Entry<String, Integer> count : readCounts(scope.queue()).entrySet())
        {
            String queue = count.getKey();
            boolean isCounted = queue.equals(scope.queue().name())
                    || config.queue(queue).isEmpty() && addresses.wereAcceptedAt(scope, queue);
            sum += isCounted && count.getValue() != null ? count.getValue() : 0;
        }
        return sum;
    }

    private Map<String, Integer> readCounts(QueueSpec queue) throws InterruptedException
    {
        requireResponsiveStore(queue.name());
        Optional<StoredValue> stored = HedgedCall.read(() -> store.get(JobKeys.SUMMARY));
        if (stored.isEmpty())
        {
            throw new GaugehollowException(ResultCode.COUNT_UNKNOWN, "no box currently owns the cell");
        }
        try
        {
            return Json.mapper().readValue(stored.get().value(), COUNTS_TYPE);
        }
        catch (java.io.IOException e)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "failed to parse the pending job counts", e);
        }
    }
}
