/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.placement.WorkerScore;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.platform.KeyPoller;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.urgency.StopCosts;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;

/**
 * Runs the cell's owner during one term: reads jobs, plans, sends commands to workers and writes
 * progress.
 */
final class OwnerTerm implements AutoCloseable
{
    private static final long MAX_PLAN_WAIT_MILLIS = 200;
    private static final long MIN_PLAN_PAUSE_MILLIS = 3;
    /**
     * Pause after planning as a multiple of the planning time. Leaves processor time for commands and
     * heartbeats.
     */
    private static final int PLAN_PAUSE_FACTOR = 2;
    /**
     * Interval at which the list of workers is read. Workers update their entries at least every two
     * seconds.
     */
    private static final int WORKER_POLL_MILLIS = 700;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Time that a run may take to end after its lease has expired. */
    static final long RUN_END_MARGIN_NANOS = 400 * NANOS_PER_MILLI;

    private final CellPlatform platform;
    private final OwnerLease lease;
    private final EarlierLeases earlierLeases;
    private final EventLog events;
    private final Supervisor supervisor;
    private final Supplier<CellConfig> config;
    private final long retentionNanos;
    private final CellState cellState = new CellState(SteadyClock::nanos, EarlierLeases.MAX_NANOS);
    private final Journal journal;
    private final AdviceCache adviceCache;
    private final Planner planner;
    private final TermReports reports;
    private final Evacuation evacuation;
    private final StallGuard stallGuard;
    private final SlowWorkerGuard slowWorkerGuard;
    private final UnresponsiveWorkerGuard unresponsiveWorkerGuard;
    private final CopyPlanner copyPlanner;
    private final CopyStatistics copyStatistics;
    private final Semaphore wakeUps = new Semaphore(0);
    private final StoppedWork stoppedWork;
    private final LossReport lossReport;
    private final JobReader jobReader;
    private final ExpiringLeases expiringLeases;
    private final TermWitnesses termWitnesses;
    private final WorkerSessions workerSessions;
    private final SummaryWriter summaryWriter;

    OwnerTerm(CellPlatform platform, OwnerLease lease, EarlierLeases earlierLeases, Witnesses witnesses,
            EventLog events, Supervisor supervisor, Supplier<CellConfig> config,
            AdviceDispatcher adviceDispatcher, WorkerScore score, StopCosts stopCosts,
            StoppedWork stoppedWork, CopyStatistics copyStatistics, long retentionNanos)
    {
        this.retentionNanos = retentionNanos;
        this.stoppedWork = stoppedWork;
        this.lossReport = new LossReport(stoppedWork, events);
        this.copyStatistics = copyStatistics;
        this.platform = platform;
        this.lease = lease;
        this.earlierLeases = earlierLeases;
        this.events = events;
        this.supervisor = supervisor;
        this.config = config;
        this.journal = new Journal(platform.store(), cellState, lease, earlierLeases, events);
        this.adviceCache = new AdviceCache(cellState, adviceDispatcher, this::wake);
        this.planner = new Planner(cellState, adviceCache, score, stopCosts);
        this.reports = new TermReports(cellState, planner, adviceCache, lease, events);
        this.evacuation = new Evacuation(cellState);
        this.stallGuard = new StallGuard(cellState);
        this.slowWorkerGuard = new SlowWorkerGuard(cellState, stopCosts);
        this.unresponsiveWorkerGuard = new UnresponsiveWorkerGuard(cellState);
        this.copyPlanner = new CopyPlanner(cellState, planner, cellState::slowness);
        this.jobReader = new JobReader(this, platform.store(), this::startWorkerTasks);
        this.workerSessions = new WorkerSessions(this, platform, supervisor, config);
        this.termWitnesses = new TermWitnesses(platform.store(), witnesses, lease, earlierLeases, events);
        this.expiringLeases = new ExpiringLeases(platform.store(), cellState, lease, events);
        this.summaryWriter = new SummaryWriter(platform.store(), cellState, lease, events);
    }

    /** Restores the state recorded by earlier owners and starts the tasks of the term. */
    void begin() throws InterruptedException
    {
        supervisor.start("witnesses", termWitnesses);
        supervisor.start("earlier-leases", earlierLeases);
        expiringLeases.read();
        jobReader.readProgress();
        supervisor.start("journal", journal);
        supervisor.start("lapsing", expiringLeases);
        supervisor.start("jobs", new KeyFollower(platform.store(), JobKeys.JOBS, jobReader, events));
        supervisor.start("planner", this::planPeriodically);
        supervisor.start("retention",
                new JobRetention(platform.store(), cellState, lease, events, retentionNanos));
    }

    /** Handles the notification that a job record was written. */
    void onJobWritten(String job)
    {
        jobReader.onJobWritten(job);
    }

    /** Handles the notification that a job was cancelled. */
    void onJobCancelled(String job)
    {
        jobReader.onJobCancelled(job);
    }

    /**
     * Starts the tasks that need the complete list of jobs. Run ends of unknown jobs would be lost if
     * heartbeats started earlier.
     */
    private void startWorkerTasks()
    {
        supervisor.start("summary", summaryWriter);
        supervisor.start("workers", new KeyPoller(platform.store(), platform.workerPrefix(),
                WORKER_POLL_MILLIS, workerSessions, events));
    }

    private void planPeriodically() throws InterruptedException
    {
        while (!lease.hasEnded())
        {
            if (wakeUps.tryAcquire(MAX_PLAN_WAIT_MILLIS, TimeUnit.MILLISECONDS))
            {
                wakeUps.drainPermits();
            }
            long startNanos = SteadyClock.nanos();
            Optional<WaitReason> block = findBlock();
            if (block.isPresent())
            {
                reports.reportBlocked(block.get());
            }
            else
            {
                planOnce();
            }
            long elapsedMillis = (SteadyClock.nanos() - startNanos) / NANOS_PER_MILLI;
            Thread.sleep(Math.max(MIN_PLAN_PAUSE_MILLIS, PLAN_PAUSE_FACTOR * elapsedMillis));
        }
    }

    /** Returns why nothing may be planned, or empty if it may. */
    private Optional<WaitReason> findBlock()
    {
        if (!jobReader.isListingComplete())
        {
            return Optional.of(WaitReason.JOBS_UNREAD);
        }
        if (!lease.maySendCommands())
        {
            return Optional.of(WaitReason.TERM_UNCONFIRMED);
        }
        // Quotas are unknown without a configuration.
        return config.get().version() > 0 ? Optional.empty() : Optional.of(WaitReason.NO_CONFIGURATION);
    }

    private void planOnce()
    {
        Planner.Plan plan;
        Effects evacuations;
        Effects stalls;
        Effects slowRuns;
        Effects poisoned;
        Effects abandonments = new Effects();
        List<Effects> expired;
        List<UnresponsiveWorkerGuard.AbandonedRun> abandonedRuns;
        List<CopyPlanner.StartedCopy> copies;
        TermReports.Observation observation;
        synchronized (cellState)
        {
            evacuations = evacuation.evacuate(SteadyClock.nanos());
            stalls = stallGuard.check(SteadyClock.nanos());
            slowRuns = slowWorkerGuard.check(SteadyClock.nanos());
            CellConfig newest = config.get();
            if (newest.version() > cellState.config().version())
            {
                cellState.configure(newest);
            }
            if (earlierLeases.limit(cellState.trackedWorkers(), expiringLeases, events))
            {
                journal.requestMark();
            }
            expired = releaseExpiredWorkers();
            poisoned = cellState.failPoisonTasks();
            abandonedRuns = unresponsiveWorkerGuard.check(SteadyClock.nanos(), abandonments);
            cellState.speeds().check(SteadyClock.nanos());
            plan = planner.plan(SteadyClock.nanos(), System.currentTimeMillis());
            copies = copyPlanner.plan(plan, SteadyClock.nanos(), System.currentTimeMillis());
            plan.needAdvice().forEach(adviceCache::request);
            observation = reports.observe(plan);
        }
        abandonedRuns.forEach(abandoned -> events.record(EventType.TASK_MOVED, abandoned.task(), "run "
                + abandoned.run() + " on " + abandoned.worker() + ": abandoned, the worker is unresponsive"));
        apply(abandonments);
        copyStatistics.recordStarted(copies, events);
        recordMovedTasks(evacuations, StoppedWork.Reason.EVACUATION, "its worker is leaving");
        recordMovedTasks(stalls, StoppedWork.Reason.STALL, "it is stalled");
        recordMovedTasks(slowRuns, StoppedWork.Reason.SLOW_WORKER, "its worker is slow");
        apply(evacuations);
        apply(stalls);
        apply(slowRuns);
        expired.forEach(this::apply);
        apply(poisoned);
        plan.preemptions().forEach(this::applyPreemption);
        sendStartsOnceWritten(plan.starts());
        reports.report(observation);
    }

    /** Sends the starts of each job as soon as the record of that job is written. */
    private void sendStartsOnceWritten(List<Planner.Start> starts)
    {
        Map<Job, List<Planner.Start>> byJob = new LinkedHashMap<>();
        for (Planner.Start start : starts)
        {
            byJob.computeIfAbsent(start.task().step().job(), job -> new ArrayList<>()).add(start);
        }
        byJob.forEach(
                (job, jobStarts) -> journal.enqueue(List.of(job), () -> jobStarts.forEach(this::sendStart)));
    }

    private void applyPreemption(Planner.PreemptionDecision preemption)
    {
        recordMovedTasks(preemption.effects(), StoppedWork.Reason.PREEMPTION,
                preemption.step().name() + " preempts it");
        apply(preemption.effects());
    }

    private void recordMovedTasks(Effects effects, StoppedWork.Reason reason, String description)
    {
        stoppedWork.add(reason, effects, SteadyClock.nanos());
        for (Effects.Stop stop : effects.stops())
        {
            events.record(EventType.TASK_MOVED, stop.taskName(),
                    "run " + stop.run() + " on " + stop.worker().id() + ": " + description);
        }
    }

    private List<Effects> releaseExpiredWorkers()
    {
        List<Effects> allEffects = new ArrayList<>();
        for (TrackedWorker worker : cellState.trackedWorkers().withExpiredLease())
        {
            if (SteadyClock.nanos() - worker.releaseNanos() > 0)
            {
                events.record(EventType.WORKER_LOST, worker.id(),
                        WorkerLossCause.LAPSED.description() + " with " + worker.tasks().size() + " runs");
                allEffects.add(cellState.onWorkerLost(worker, WorkerLossCause.LAPSED));
            }
        }
        return allEffects;
    }

    private void sendStart(Planner.Start start)
    {
        Optional<WorkerSession> session = workerSessions.session(start.worker().id());
        if (session.isPresent())
        {
            inBackground(start.task().name(), () -> session.get().commands().start(start));
            return;
        }
        synchronized (cellState)
        {
            if (start.task().isAt(start.worker(), start.run()))
            {
                start.task().release();
            }
        }
    }

    /** A task that may be interrupted. */
    interface Interruptible
    {
        void run() throws InterruptedException;
    }

    /** Runs work in a virtual thread; an interruption ends it silently. */
    static Thread inBackground(String name, Interruptible work)
    {
        return Thread.ofVirtual().name(name).start(() ->
        {
            try
            {
                work.run();
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Writes the changed jobs and sends the stops. */
    void apply(Effects effects)
    {
        apply(effects, () ->
        {
        });
    }

    /**
     * Writes the changed jobs and sends the stops. Calls {@code onWritten} once all changes are stored.
     */
    void apply(Effects effects, Runnable onWritten)
    {
        copyStatistics.recordSettled(effects.settledCopies(), events);
        lossReport.record(effects);
        for (Effects.Stop stop : effects.stops())
        {
            workerSessions.session(stop.worker().id()).ifPresent(session -> inBackground(stop.taskName(),
                    () -> session.commands().stopCommands().send(stop)));
        }
        synchronized (cellState)
        {
            effects.changedJobs().stream().filter(job -> job.state().isFinal()).forEach(adviceCache::evict);
        }
        if (!effects.changedJobs().isEmpty())
        {
            wake();
        }
        journal.enqueue(effects.changedJobs(), onWritten);
    }

    /**
     * Handles a worker that was replaced by another incarnation. May be called more than once, since
     * each pending command can detect it.
     */
    void onIncarnationChanged(TrackedWorker worker)
    {
        boolean wasHandledBefore;
        WorkerLossCause cause;
        Effects effects;
        synchronized (cellState)
        {
            wasHandledBefore = worker.entry() == null && worker.isIdle();
            cause = worker.isLeaving() ? WorkerLossCause.LEFT : WorkerLossCause.CRASHED;
            worker.clearEntry();
            effects = cellState.onWorkerLost(worker, cause);
        }
        if (!wasHandledBefore)
        {
            events.record(EventType.WORKER_LOST, worker.id(), cause.description());
        }
        apply(effects);
        workerSessions.onIncarnationEnded(worker);
        wake();
    }

    /**
     * Ends the other incarnations of a worker that answered a heartbeat, except those that became known
     * after the heartbeat was sent.
     */
    void endOtherIncarnations(TrackedWorker worker, long sentNanos)
    {
        List<TrackedWorker> replaced;
        synchronized (cellState)
        {
            replaced = cellState.trackedWorkers().otherIncarnations(worker).stream()
                    .filter(incarnation -> incarnation.firstSeenNanos() - sentNanos < 0).toList();
        }
        replaced.forEach(this::onIncarnationChanged);
    }

    /** Ends the term, because a worker rejected a command after it received one of a newer term. */
    void onFenced(TrackedWorker worker)
    {
        lease.end("worker " + worker.id() + " received commands of a newer owner");
    }

    /** Removes the session of a worker that is unlisted, idle and unresponsive. */
    void onSessionEnded(TrackedWorker worker)
    {
        workerSessions.closeSession(worker);
    }

    void recordEnds(TrackedWorker worker, HeartbeatReply reply, long lastEndNumber)
    {
        for (EndedRun end : reply.ended())
        {
            if (end.number() > lastEndNumber)
            {
                events.record(EventType.RUN_ENDED, end.task(), "run " + end.run() + " on " + worker.id()
                        + ": " + end.how() + ", end " + end.number());
            }
        }
    }

    /** Handles a worker that answers heartbeats again: its lease is renewed soon. */
    void onWorkerRecovered()
    {
        expiringLeases.wake();
    }

    /** Triggers the next planning run. */
    void wake()
    {
        wakeUps.release();
    }

    /** Returns what the owner knows of the cell. */
    TermStatus status()
    {
        return reports.status(summaryWriter.counts());
    }

    OwnerLease lease()
    {
        return lease;
    }

    CellState cellState()
    {
        return cellState;
    }

    AdviceCache adviceCache()
    {
        return adviceCache;
    }

    EventLog events()
    {
        return events;
    }

    @Override
    public void close()
    {
        supervisor.close();
        adviceCache.close();
        workerSessions.close();
    }
}
