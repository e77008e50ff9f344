/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.gaugehollow.admission.AdmissionPolicy;
import org.gaugehollow.admission.BacklogAccount;
import org.gaugehollow.admission.JobDemand;
import org.gaugehollow.admission.RecentAdmissions;
import org.gaugehollow.admission.RetrySchedule;
import org.gaugehollow.admission.Verdict;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.schedule.TimedBacklog;

/**
 * Keeps the newest account of the waiting work and applies {@link AdmissionPolicy} to submissions
 * of this box.
 */
final class AdmissionControl implements Admission
{
    /** Time without refusals after which a queue is accepted again. */
    private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Time for which the newest expected wait of a queue is reported. */
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** The submissions of one queue. */
    private static final class QueueState
    {
        private final RetrySchedule retries = new RetrySchedule();
        private boolean refusing;
        private long beganNanos;
        private long lastRefusedNanos;
        private int refusedJobs;
        private long waitMillis;
        private long decidedNanos;
    }

    private final Supplier<TimedBacklog> ownBacklog;
    private final Supplier<String> owner;
    private final IntSupplier boxCount;
    private final LongSupplier nanoTime;
    private final EventLog events;
    private final RecentAdmissions recent = new RecentAdmissions();
    /** Grows only with the queues of the configuration. */
    private final Map<String, QueueState> queues = new HashMap<>();
    private TimedBacklog newest = TimedBacklog.NONE;

    /**
     * @param ownBacklog supplies the account of this box while it is the owner
     * @param owner supplies the id of the box that owns the cell as far as this box knows
     * @param boxCount supplies the number of boxes that accept jobs
     * @param nanoTime monotonic clock, in nanoseconds
     * @param events event log
     */
    AdmissionControl(Supplier<TimedBacklog> ownBacklog, Supplier<String> owner, IntSupplier boxCount,
            LongSupplier nanoTime, EventLog events)
    {
        this.ownBacklog = ownBacklog;
        this.owner = owner;
        this.boxCount = boxCount;
        this.nanoTime = nanoTime;
        this.events = events;
    }

    /** Handles an account that the owner sent. */
    synchronized void onBacklog(TimedBacklog backlog)
    {
        if (!isOlderTerm(backlog))
        {
            newest = backlog;
            recent.removeBefore(backlog.nanos());
        }
        endQuietRefusals();
    }

    private boolean isOlderTerm(TimedBacklog backlog)
    {
        return backlog.account().isPresent() && newest.account().isPresent()
                && backlog.account().get().term() < newest.account().get().term();
    }

    /** Returns the account to decide on; empty if there is none of the current owner. */
    private TimedBacklog current()
    {
        TimedBacklog own = ownBacklog.get();
        if (own.account().isPresent())
        {
            onBacklog(own);
            return own;
        }
        boolean isOfOwner = newest.account().map(BacklogAccount::owner).equals(Optional.of(owner.get()));
        return isOfOwner ? newest : TimedBacklog.NONE;
    }

    @Override
    public synchronized Optional<Refusal> decide(JobScope scope, JobSpec job, long deadlineNanos)
    {
        TimedBacklog backlog = current();
        endQuietRefusals();
        if (backlog.account().isEmpty())
        {
            return Optional.empty();
        }
        long nowNanos = nanoTime.getAsLong();
        JobDemand demand = JobDemand.of(scope.queue(), job);
        QueueState queue = queues.computeIfAbsent(demand.queue(), name -> new QueueState());
        Verdict verdict = AdmissionPolicy.decide(demand, scope.customer(), backlog.account().get(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - backlog.nanos()), recent, queue.refusing);
        queue.waitMillis = verdict.waitMillis();
        queue.decidedNanos = nowNanos;
        return verdict.refused()
                ? Optional.of(new Refusal(verdict.describe(), () -> refuse(demand, verdict, deadlineNanos)))
                : Optional.empty();
    }

    /** Counts a refusal and returns the time after which the caller should return, in seconds. */
    private synchronized int refuse(JobDemand demand, Verdict verdict, long deadlineNanos)
    {
        long nowNanos = nanoTime.getAsLong();
        QueueState queue = queues.computeIfAbsent(demand.queue(), name -> new QueueState());
        if (!queue.refusing)
        {
            queue.refusing = true;
            queue.beganNanos = nowNanos;
            queue.refusedJobs = 0;
            events.record(EventType.REFUSING_BEGAN, demand.queue(), verdict.describe());
        }
        queue.lastRefusedNanos = nowNanos;
        queue.refusedJobs++;
        long patienceMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
        double jobsPerSecond = (double) verdict.drainPerSecond() / Math.max(1, demand.coreMillis());
        return queue.retries.delaySeconds(verdict.retryMillis(), patienceMillis,
                jobsPerSecond / Math.max(1, boxCount.getAsInt()), nowNanos);
    }

    private void endQuietRefusals()
    {
        long nowNanos = nanoTime.getAsLong();
        queues.forEach((name, queue) ->
        {
            if (queue.refusing && nowNanos - queue.lastRefusedNanos > QUIET_NANOS)
            {
                queue.refusing = false;
                events.record(EventType.REFUSING_ENDED, name,
                        "after " + TimeUnit.NANOSECONDS.toMillis(queue.lastRefusedNanos - queue.beganNanos)
                                + " ms, refused: " + queue.refusedJobs);
            }
        });
    }

    @Override
    public synchronized void onAccepted(JobScope scope, JobSpec job)
    {
        TimedBacklog backlog = current();
        if (backlog.account().isPresent())
        {
            recent.add(JobDemand.of(scope.queue(), job), backlog.account().get().isAtWeight(scope.customer()),
                    nanoTime.getAsLong());
        }
    }

    /** Returns the newest expected waits, by queue. */
    synchronized Map<String, Double> expectedWaitSeconds()
    {
        long nowNanos = nanoTime.getAsLong();
        Map<String, Double> waits = new HashMap<>();
        queues.forEach((name, queue) ->
        {
            boolean isRecent = nowNanos - queue.decidedNanos < REPORT_NANOS;
            waits.put(name, isRecent ? queue.waitMillis / MILLIS_PER_SECOND : 0);
        });
        return waits;
    }

    /** Returns the age of the account in use; 0 if there is none. */
    synchronized double accountAgeSeconds()
    {
        TimedBacklog backlog = current();
        return backlog.account().isEmpty() ? 0 : (nanoTime.getAsLong() - backlog.nanos()) / NANOS_PER_SECOND;
    }
}
