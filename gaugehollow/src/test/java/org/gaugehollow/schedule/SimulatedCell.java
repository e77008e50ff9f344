/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.RunEnd;

/**
 * An owner's decisions against machines that crash and come back, in simulated time: one round each
 * 10 ms. Machines crash under harmful jobs, whose runs live for 10 ms, and by themselves.
 */
final class SimulatedCell
{
    private static final long STEP_MILLIS = 10;
    private static final long LOOK_MILLIS = 500;
    private static final long DOWN_MILLIS = 3_000;
    private static final int WORKER_CPU = 16_000;

    /** A run on a machine. */
    private record Run(Task task, int number, long begunMillis, long lastsMillis)
    {
    }

    /** A machine with its present life. */
    private final class Machine
    {
        private final String name;
        private final List<Run> runs = new ArrayList<>();
        private final List<EndedRun> ends = new ArrayList<>();
        private TrackedWorker slot;
        private int life;
        private long downUntilMillis;
        private boolean isDown;
        private boolean hasBroken;
        private long lookedMillis;
        private long lastEnd;

        Machine(String name)
        {
            this.name = name;
            begin();
        }

        private void begin()
        {
            life++;
            isDown = false;
            lastEnd = 0;
            slot = ledger.list(TestJobs.worker(name + '-' + life, WORKER_CPU));
            slot.recordHeartbeat(clock.get());
            lookedMillis = nowMillis;
        }

        private void crash()
        {
            crashes++;
            runs.stream().filter(run -> !isHarmful(run.task()))
                    .forEach(run -> lostMillis += nowMillis - run.begunMillis());
            runs.clear();
            ends.clear();
            isDown = true;
            hasBroken = !isDark;
            downUntilMillis = nowMillis + DOWN_MILLIS;
        }

        private void step()
        {
            if (isDown && nowMillis >= downUntilMillis)
            {
                slot.unlisted();
                take(ledger.onWorkerLost(slot, WorkerLossCause.CRASHED));
                begin();
            }
            if (!isDown)
            {
                work();
            }
            look();
        }

        private void work()
        {
            for (Iterator<Run> all = runs.iterator(); all.hasNext();)
            {
                Run run = all.next();
                boolean isOver = nowMillis - run.begunMillis() >= run.lastsMillis();
                if (isOver && isHarmful(run.task()))
                {
                    crash();
                    return;
                }
                if (isOver)
                {
                    all.remove();
                    lastEnd++;
                    ends.add(new EndedRun(lastEnd, run.task().name(), run.number(), RunEnd.DONE, ""));
                }
            }
        }

        private void look()
        {
            boolean isDue = nowMillis - lookedMillis >= LOOK_MILLIS || !isDown && !ends.isEmpty()
                    || hasBroken;
            hasBroken = false;
            if (!isDue)
            {
                return;
            }
            lookedMillis = nowMillis;
            if (isDown)
            {
                slot.recordMissedHeartbeat(clock.get(), !isDark);
                return;
            }
            List<RunningRun> rows = runs.stream()
                    .map(run -> new RunningRun(run.task().name(), run.number(), "", 1, 0)).toList();
            take(ledger.applyHeartbeat(slot, TestJobs.answer(rows, List.copyOf(ends)), 0, clock.get()));
            ends.clear();
        }

        /** A start that is sent to a machine that is down gets no answer. */
        private void start(Planner.Start start)
        {
            start.task().sent();
            if (isDown)
            {
                return;
            }
            start.task().startAnswered(clock.get());
            boolean isLasting = start.task().step().spec().longRunning();
            long lasts = isLasting ? Long.MAX_VALUE : start.task().step().spec().estimateMillis();
            lasts = isHarmful(start.task()) ? STEP_MILLIS : lasts;
            runs.add(new Run(start.task(), start.run(), nowMillis, lasts));
        }
    }

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState ledger = new CellState(clock::get, TimeUnit.SECONDS.toNanos(14));
    private final Planner planner = new Planner(ledger, new NoTickets(), new WaitingFirstScore(0.5));
    private final UnresponsiveWorkerGuard silentWorkerGuard = new UnresponsiveWorkerGuard(ledger);
    private final List<Machine> machines = new ArrayList<>();
    private final Set<String> harmful = new HashSet<>();
    private final Map<String, Long> givenUpMillis = new HashMap<>();
    private final List<Job> jobs = new ArrayList<>();
    private final boolean isDark;
    private long nowMillis;
    private int crashes;
    private long lostMillis;

    /**
     * @param machineCount how many machines there are
     * @param isDark whether machines that crash just fall silent; else connections to them break
     */
    SimulatedCell(int machineCount, boolean isDark)
    {
        this.isDark = isDark;
        for (int i = 0; i < machineCount; i++)
        {
            machines.add(new Machine("m" + i));
        }
    }

    /** A job is accepted. */
    void accept(JobRecord record)
    {
        ledger.accept(record, 1, null, 0);
        jobs.add(ledger.find(record.id() + ".0.0.0").step().job());
    }

    /** A job of which every run crashes its machine is accepted. */
    void acceptHarmful(JobRecord record)
    {
        harmful.add(record.id());
        accept(record);
    }

    private boolean isHarmful(Task task)
    {
        return harmful.contains(task.step().job().id());
    }

    /** Some machines crash by themselves. */
    void crash(int first, int count)
    {
        machines.subList(first, first + count).stream().filter(machine -> !machine.isDown)
                .forEach(Machine::crash);
    }

    /** Goes on for some time. */
    void run(long millis)
    {
        long end = nowMillis + millis;
        while (nowMillis < end)
        {
            nowMillis += STEP_MILLIS;
            clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
            machines.forEach(Machine::step);
            silentWorkerGuard.check(clock.get());
            take(ledger.failPoisonTasks());
            planner.plan(clock.get(), nowMillis).starts().forEach(this::start);
        }
    }

    private void start(Planner.Start start)
    {
        machines.stream().filter(machine -> machine.slot == start.slot()).findFirst().orElseThrow()
                .start(start);
    }

    private void take(Effects effects)
    {
        effects.givenUp().forEach(task -> givenUpMillis.put(task.task(), nowMillis));
    }

    /** How many lives of machines have ended. */
    int crashes()
    {
        return crashes;
    }

    /** How much work of good tasks crashes have thrown away, in milliseconds of runs. */
    long lostMillis()
    {
        return lostMillis;
    }

    /** How many harmful jobs have been given up. */
    long harmfulGivenUp()
    {
        return jobs.stream().filter(job -> harmful.contains(job.id()) && job.state() == JobState.FAILED)
                .count();
    }

    /** How many good jobs have been given up. */
    long goodGivenUp()
    {
        return jobs.stream().filter(job -> !harmful.contains(job.id()) && job.state() == JobState.FAILED)
                .count();
    }

    /** How many jobs have a task at work that was seen there for so long, in milliseconds. */
    long atWorkFor(long millis)
    {
        return jobs.stream().flatMap(job -> job.occupying().stream())
                .filter(task -> task.seenMillis() >= millis).count();
    }

    /** How many good jobs are done. */
    long goodDone()
    {
        return jobs.stream().filter(job -> job.state() == JobState.COMPLETED).count();
    }

    /** When the last task was given up, in milliseconds from the begin. */
    long lastGivenUpMillis()
    {
        return givenUpMillis.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }
}
