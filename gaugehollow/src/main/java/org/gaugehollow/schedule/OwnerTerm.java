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
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;

/** The work of the cell's owner during one term: jobs in, decisions, orders out, ends written. */
final class OwnerTerm implements AutoCloseable
{
    private static final long LONGEST_WAIT_MILLIS = 200;
    private static final long MILLIS_BETWEEN_PLANS = 3;
    /**
     * How many times as long as a plan took nothing is planned then, so that orders and looks have
     * their turn on a busy processor.
     */
    private static final int PAUSE_FOR_PLAN = 2;
    /**
     * How often the list of workers is read; each worker writes there more often than once in two
     * seconds.
     */
    private static final int WORKERS_MILLIS = 700;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** How long after its lease a run may take to end. */
    private static final long END_MARGIN_NANOS = 400 * NANOS_PER_MILLI;
    /** How long runs of an earlier owner may live on a worker that this one cannot reach. */
    private static final long UNKNOWN_LEASE_NANOS = OwnerLease.LONGEST_SILENCE_NANOS
            + (long) (WorkerSession.LEASE_MILLIS * 1.02) * NANOS_PER_MILLI + END_MARGIN_NANOS;

    private final CellPlatform platform;
    private final OwnerLease lease;
    private final EventLog events;
    private final Supervisor supervisor;
    private final Supplier<CellConfig> config;
    private final long retentionNanos;
    private final CellState ledger = new CellState(SteadyClock::nanos, UNKNOWN_LEASE_NANOS);
    private final Journal journal;
    private final AdviceCache desk;
    private final Planner planner;
    private final QuotaWatch quotaWatch;
    private final Evacuation evacuation;
    private final StallGuard stallGuard;
    private final SlowWorkerGuard slowWorkerGuard;
    private final UnresponsiveWorkerGuard silentWorkerGuard;
    private final Semaphore wakeUps = new Semaphore(0);
    private final JobReader jobs;
    private final ExpiringLeases lapsing;
    private final WorkerSessions roster;

    OwnerTerm(CellPlatform platform, OwnerLease lease, EventLog events, Supervisor supervisor,
            Supplier<CellConfig> config, AdviceDispatcher lines, WorkerScore score, long retentionNanos)
    {
        this.retentionNanos = retentionNanos;
        this.platform = platform;
        this.lease = lease;
        this.events = events;
        this.supervisor = supervisor;
        this.config = config;
        this.journal = new Journal(platform.store(), ledger, lease, events);
        this.desk = new AdviceCache(ledger, lines, this::wake);
        this.planner = new Planner(ledger, desk, score);
        this.quotaWatch = new QuotaWatch(events);
        this.evacuation = new Evacuation(ledger);
        this.stallGuard = new StallGuard(ledger);
        this.slowWorkerGuard = new SlowWorkerGuard(ledger);
        this.silentWorkerGuard = new UnresponsiveWorkerGuard(ledger);
        this.jobs = new JobReader(this, platform.store(), this::followWorkers);
        this.roster = new WorkerSessions(this, platform, supervisor, config);
        this.lapsing = new ExpiringLeases(platform.store(), ledger, lease, events);
    }

    /** Reads what earlier owners recorded and begins to work. */
    void begin() throws InterruptedException
    {
        lapsing.read();
        jobs.readProgress();
        supervisor.start("journal", journal);
        supervisor.start("lapsing", lapsing);
        supervisor.start("jobs", new KeyFollower(platform.store(), JobKeys.JOBS, jobs, events));
        supervisor.start("planner", this::planForever);
        supervisor.start("retention",
                new JobRetention(platform.store(), ledger, lease, events, retentionNanos));
    }

    /** A box has written the record of a job. */
    void onJobWritten(String job)
    {
        jobs.onJobWritten(job);
    }

    /** A box has written the cancellation of a job. */
    void onJobCancelled(String job)
    {
        jobs.onJobCancelled(job);
    }

    /**
     * Workers are looked at, and waiting jobs counted, only once all jobs are known: an end of an
     * unknown job would be lost.
     */
    private void followWorkers()
    {
        supervisor.start("summary", new SummaryWriter(platform.store(), ledger, lease));
        supervisor.start("workers",
                new KeyPoller(platform.store(), platform.workerPrefix(), WORKERS_MILLIS, roster, events));
    }

    private void planForever() throws InterruptedException
    {
        while (!lease.hasEnded())
        {
            if (wakeUps.tryAcquire(LONGEST_WAIT_MILLIS, TimeUnit.MILLISECONDS))
            {
                wakeUps.drainPermits();
            }
            long begunNanos = SteadyClock.nanos();
            if (jobs.isListingComplete() && lease.maySendCommands() && hasConfig())
            {
                planOnce();
            }
            long tookMillis = (SteadyClock.nanos() - begunNanos) / NANOS_PER_MILLI;
            Thread.sleep(Math.max(MILLIS_BETWEEN_PLANS, PAUSE_FOR_PLAN * tookMillis));
        }
    }

    /** Without a configuration nobody would be held to a quota. */
    private boolean hasConfig()
    {
        return config.get().version() > 0;
    }

    private void planOnce()
    {
        Planner.Plan plan;
        Effects moves;
        Effects stalls;
        Effects slow;
        Effects harmful;
        List<Effects> lapsed;
        List<UnresponsiveWorkerGuard.AbandonedRun> left;
        synchronized (ledger)
        {
            moves = evacuation.evacuate(SteadyClock.nanos());
            stalls = stallGuard.check(SteadyClock.nanos());
            slow = slowWorkerGuard.check(SteadyClock.nanos());
            CellConfig newest = config.get();
            if (newest.version() > ledger.config().version())
            {
                ledger.configure(newest);
            }
            lapsed = releaseLapsed();
            harmful = ledger.failPoisonTasks();
            left = silentWorkerGuard.check(SteadyClock.nanos());
            plan = planner.plan(SteadyClock.nanos(), System.currentTimeMillis());
            plan.needAdvice().forEach(desk::request);
        }
        left.forEach(copy -> events.record(EventType.TASK_MOVED, copy.task(),
                "run " + copy.run() + " on " + copy.worker() + ": left there, the worker is silent"));
        logMoves(moves, "its worker leaves");
        logMoves(stalls, "it stands still");
        logMoves(slow, "its worker is slow");
        apply(moves);
        apply(stalls);
        apply(slow);
        lapsed.forEach(this::applyLoss);
        applyLoss(harmful);
        quotaWatch.planned(plan.atQuota(), SteadyClock.nanos());
        plan.preemptions().forEach(this::makeRoom);
        sendOnceWritten(plan.starts());
    }

    /** Each job's starts are sent as soon as its own record is written, not when all are. */
    private void sendOnceWritten(List<Planner.Start> starts)
    {
        Map<Job, List<Planner.Start>> byJob = new LinkedHashMap<>();
        for (Planner.Start start : starts)
        {
            byJob.computeIfAbsent(start.task().step().job(), job -> new ArrayList<>()).add(start);
        }
        byJob.forEach((job, its) -> journal.mark(List.of(job), () -> its.forEach(this::send)));
    }

    private void makeRoom(Planner.PreemptionDecision room)
    {
        logMoves(room.effects(), room.step().name() + " is more urgent and needs its room");
        apply(room.effects());
    }

    private void logMoves(Effects effects, String why)
    {
        for (Effects.Stop stop : effects.stops())
        {
            events.record(EventType.TASK_MOVED, stop.taskName(),
                    "run " + stop.run() + " on " + stop.slot().id() + ": " + why);
        }
    }

    private List<Effects> releaseLapsed()
    {
        List<Effects> all = new ArrayList<>();
        for (TrackedWorker slot : ledger.slots().withExpiredLease())
        {
            if (SteadyClock.nanos() - slot.leaseEndNanos() > END_MARGIN_NANOS)
            {
                events.record(EventType.WORKER_LOST, slot.id(),
                        WorkerLossCause.LAPSED.description() + " with " + slot.tasks().size() + " runs");
                all.add(ledger.onWorkerLost(slot, WorkerLossCause.LAPSED));
            }
        }
        return all;
    }

    private void send(Planner.Start start)
    {
        Optional<WorkerSession> session = roster.session(start.slot().id());
        if (session.isPresent())
        {
            inBackground(start.task().name(), () -> session.get().orders().start(start));
            return;
        }
        synchronized (ledger)
        {
            if (start.task().isAt(start.slot(), start.run()))
            {
                start.task().release();
            }
        }
    }

    /** A step of work that may be interrupted. */
    interface Interruptible
    {
        void run() throws InterruptedException;
    }

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

    /** Writes what changed and sends the stops. */
    void apply(Effects effects)
    {
        apply(effects, () ->
        {
        });
    }

    /** Writes what changed and sends the stops; what is to follow runs once all is written. */
    void apply(Effects effects, Runnable onWritten)
    {
        for (Effects.Stop stop : effects.stops())
        {
            roster.session(stop.slot().id()).ifPresent(
                    session -> inBackground(stop.taskName(), () -> session.orders().stops().send(stop)));
        }
        synchronized (ledger)
        {
            effects.changed().stream().filter(job -> job.state().isFinal()).forEach(desk::forget);
        }
        if (!effects.changed().isEmpty())
        {
            wake();
        }
        journal.mark(effects.changed(), onWritten);
    }

    /** Another life answers in a worker's place; each order that was under way may find that. */
    void onIncarnationChanged(TrackedWorker slot)
    {
        boolean wasKnown;
        WorkerLossCause end;
        Effects effects;
        synchronized (ledger)
        {
            wasKnown = slot.entry() == null && slot.isIdle();
            end = slot.isLeaving() ? WorkerLossCause.LEFT : WorkerLossCause.CRASHED;
            slot.unlisted();
            effects = ledger.onWorkerLost(slot, end);
        }
        if (!wasKnown)
        {
            events.record(EventType.WORKER_LOST, slot.id(), end.description());
        }
        applyLoss(effects);
        roster.over(slot);
        wake();
    }

    /**
     * A worker has answered a look in the life of a slot: its other lives are over, unless they became
     * known only after the look was sent.
     */
    void endOtherIncarnations(TrackedWorker slot, long sentNanos)
    {
        List<TrackedWorker> over;
        synchronized (ledger)
        {
            over = ledger.slots().otherIncarnations(slot).stream()
                    .filter(life -> life.knownNanos() - sentNanos < 0).toList();
        }
        over.forEach(this::onIncarnationChanged);
    }

    /** A worker refuses an order of this term, because it has had one of a newer one. */
    void onFenced(TrackedWorker slot)
    {
        lease.end("worker " + slot.id() + " has seen a newer owner");
    }

    /** Tells which runs are over with their worker and which tasks are given up, and applies it. */
    private void applyLoss(Effects effects)
    {
        logLostRuns(effects);
        effects.givenUp().forEach(task -> events.record(EventType.TASK_GIVEN_UP, task.task(),
                "crashed " + task.crashes().crashes()));
        apply(effects);
    }

    private void logLostRuns(Effects effects)
    {
        for (Effects.LostRun run : effects.lostRuns())
        {
            events.record(EventType.RUN_LOST, run.task(), "run " + run.run() + " on " + run.worker() + ": "
                    + run.end().description() + ", seen at work for " + run.seenMillis() + " ms");
        }
    }

    /** A worker that is no longer listed, holds nothing and does not answer is forgotten. */
    void onSessionEnded(TrackedWorker slot)
    {
        roster.forget(slot);
    }

    void logEnds(TrackedWorker slot, HeartbeatReply answer, long lastSeen)
    {
        for (EndedRun end : answer.ended())
        {
            if (end.number() > lastSeen)
            {
                events.record(EventType.RUN_ENDED, end.task(),
                        "run " + end.run() + " on " + slot.id() + ": " + end.how() + ", end " + end.number());
            }
        }
    }

    /** A worker answers looks again; its lease is to be renewed soon. */
    void onWorkerRecovered()
    {
        lapsing.wake();
    }

    /** Decides anew soon. */
    void wake()
    {
        wakeUps.release();
    }

    OwnerLease lease()
    {
        return lease;
    }

    CellState cellState()
    {
        return ledger;
    }

    AdviceCache adviceCache()
    {
        return desk;
    }

    EventLog events()
    {
        return events;
    }

    @Override
    public void close()
    {
        supervisor.close();
        desk.close();
        roster.close();
    }
}
