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
 * Simulates the decisions of an owner on machines that crash and restart. Simulated time advances
 * in steps of 10 ms. Machines crash 10 ms after the start of a poison job, or when a test crashes
 * them.
 */
final class SimulatedCell
{
    private static final long STEP_MILLIS = 10;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long DOWN_MILLIS = 3_000;
    private static final int WORKER_CPU = 16_000;

    private record Run(Task task, int number, long startedMillis, long durationMillis)
    {
    }

    /** A machine with its current worker incarnation. */
    private final class Machine
    {
        private final String name;
        private final List<Run> runs = new ArrayList<>();
        private final List<EndedRun> ends = new ArrayList<>();
        private TrackedWorker worker;
        private int incarnation;
        private long downUntilMillis;
        private boolean isDown;
        private boolean hasLostConnection;
        private long heartbeatMillis;
        private long lastEnd;

        Machine(String name)
        {
            this.name = name;
            startIncarnation();
        }

        private void startIncarnation()
        {
            incarnation++;
            isDown = false;
            lastEnd = 0;
            worker = cellState.updateWorker(TestJobs.worker(name + '-' + incarnation, WORKER_CPU));
            worker.recordHeartbeat(clock.get());
            heartbeatMillis = nowMillis;
        }

        private void crash()
        {
            crashes++;
            runs.stream().filter(run -> !isPoison(run.task()))
                    .forEach(run -> lostMillis += nowMillis - run.startedMillis());
            runs.clear();
            ends.clear();
            isDown = true;
            hasLostConnection = !crashesKeepConnections;
            downUntilMillis = nowMillis + DOWN_MILLIS;
        }

        private void step()
        {
            if (isDown && nowMillis >= downUntilMillis)
            {
                worker.clearEntry();
                recordFailures(cellState.onWorkerLost(worker, WorkerLossCause.CRASHED));
                startIncarnation();
            }
            if (!isDown)
            {
                advanceRuns();
            }
            heartbeat();
        }

        private void advanceRuns()
        {
            for (Iterator<Run> iterator = runs.iterator(); iterator.hasNext();)
            {
                Run run = iterator.next();
                boolean hasEnded = nowMillis - run.startedMillis() >= run.durationMillis();
                if (hasEnded && isPoison(run.task()))
                {
                    crash();
                    return;
                }
                if (hasEnded)
                {
                    iterator.remove();
                    lastEnd++;
                    ends.add(new EndedRun(lastEnd, run.task().name(), run.number(), RunEnd.DONE, ""));
                }
            }
        }

        private void heartbeat()
        {
            boolean isDue = nowMillis - heartbeatMillis >= HEARTBEAT_MILLIS || !isDown && !ends.isEmpty()
                    || hasLostConnection;
            hasLostConnection = false;
            if (!isDue)
            {
                return;
            }
            heartbeatMillis = nowMillis;
            if (isDown)
            {
                worker.recordMissedHeartbeat(clock.get(), !crashesKeepConnections);
                return;
            }
            List<RunningRun> rows = runs.stream()
                    .map(run -> new RunningRun(run.task().name(), run.number(), "", 1, 0)).toList();
            recordFailures(cellState.applyHeartbeat(worker, TestJobs.heartbeatReply(rows, List.copyOf(ends)),
                    0, clock.get()));
            ends.clear();
        }

        /** Starts a run; a machine that is down does not answer. */
        private void start(Planner.Start start)
        {
            start.task().markSent(clock.get());
            if (isDown)
            {
                return;
            }
            start.task().onStartAnswered(clock.get());
            boolean isLongRunning = start.task().step().spec().longRunning();
            long durationMillis = isLongRunning
                    ? Long.MAX_VALUE
                    : start.task().step().spec().estimateMillis();
            durationMillis = isPoison(start.task()) ? STEP_MILLIS : durationMillis;
            runs.add(new Run(start.task(), start.run(), nowMillis, durationMillis));
        }
    }

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, TimeUnit.SECONDS.toNanos(14));
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private final UnresponsiveWorkerGuard unresponsiveWorkerGuard = new UnresponsiveWorkerGuard(cellState);
    private final List<Machine> machines = new ArrayList<>();
    private final Set<String> poisonJobs = new HashSet<>();
    private final Map<String, Long> failedMillis = new HashMap<>();
    private final List<Job> jobs = new ArrayList<>();
    private final boolean crashesKeepConnections;
    private long nowMillis;
    private int crashes;
    private long lostMillis;

    /**
     * @param machineCount number of machines
     * @param crashesKeepConnections whether connections to a crashed machine stay open, so that it only
     *            becomes unresponsive
     */
    SimulatedCell(int machineCount, boolean crashesKeepConnections)
    {
        this.crashesKeepConnections = crashesKeepConnections;
        for (int i = 0; i < machineCount; i++)
        {
            machines.add(new Machine("m" + i));
        }
    }

    /** Accepts a job. */
    void accept(JobRecord record)
    {
        cellState.accept(record, 1, null, 0);
        jobs.add(cellState.findTask(record.id() + ".0.0.0").step().job());
    }

    /** Accepts a job whose runs crash their machines. */
    void acceptPoison(JobRecord record)
    {
        poisonJobs.add(record.id());
        accept(record);
    }

    private boolean isPoison(Task task)
    {
        return poisonJobs.contains(task.step().job().id());
    }

    /** Crashes a range of machines. */
    void crash(int first, int count)
    {
        machines.subList(first, first + count).stream().filter(machine -> !machine.isDown)
                .forEach(Machine::crash);
    }

    /** Advances the simulation. */
    void run(long millis)
    {
        long end = nowMillis + millis;
        while (nowMillis < end)
        {
            nowMillis += STEP_MILLIS;
            clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
            machines.forEach(Machine::step);
            unresponsiveWorkerGuard.check(clock.get(), new Effects());
            recordFailures(cellState.failPoisonTasks());
            planner.plan(clock.get(), nowMillis).starts().forEach(this::start);
        }
    }

    private void start(Planner.Start start)
    {
        machines.stream().filter(machine -> machine.worker == start.worker()).findFirst().orElseThrow()
                .start(start);
    }

    private void recordFailures(Effects effects)
    {
        effects.poisonTasks().forEach(task -> failedMillis.put(task.task(), nowMillis));
    }

    /** Returns the number of crashes. */
    int crashes()
    {
        return crashes;
    }

    /** Returns the run time of good tasks that was lost by crashes, in milliseconds. */
    long lostMillis()
    {
        return lostMillis;
    }

    /** Returns the number of poison jobs that have failed. */
    long failedPoisonJobs()
    {
        return jobs.stream().filter(job -> poisonJobs.contains(job.id()) && job.state() == JobState.FAILED)
                .count();
    }

    /** Returns the number of good jobs that have failed. */
    long failedGoodJobs()
    {
        return jobs.stream().filter(job -> !poisonJobs.contains(job.id()) && job.state() == JobState.FAILED)
                .count();
    }

    /** Returns the number of tasks that have been observed running for at least the given time. */
    long runningFor(long millis)
    {
        return jobs.stream().flatMap(job -> job.tasksOnWorkers().stream())
                .filter(task -> task.observedMillis() >= millis).count();
    }

    /** Returns the number of good jobs that have completed. */
    long completedGoodJobs()
    {
        return jobs.stream().filter(job -> job.state() == JobState.COMPLETED).count();
    }

    /** Returns the simulated time of the last failure in milliseconds. */
    long lastFailureMillis()
    {
        return failedMillis.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }
}
