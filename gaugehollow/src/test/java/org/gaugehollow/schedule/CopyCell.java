/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.RunEnd;

/**
 * An owner and its workers, on which runs advance with the time that a test adds. Each start is
 * checked against the capacity of its worker, the quota of its customer and the other runs of its
 * task.
 */
final class CopyCell
{
    static final String CUSTOMER = "north";
    static final int CPU_PER_UNIT = 1_000;
    /** Objective of a job of one step of 800 ms: 1,450 ms. */
    static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 5, 250, 1.5, null);
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(14);

    /** A run on a worker. */
    static final class Run
    {
        final String task;
        final int number;
        final Step step;
        final double workMillis;
        double doneMillis;

        Run(Planner.Start start, double workMillis)
        {
            this.task = start.task().name();
            this.number = start.run();
            this.step = start.task().step();
            this.workMillis = workMillis;
        }

        private RunningRun row()
        {
            return new RunningRun(task, number, "", (int) (100 * doneMillis / workMillis), 0);
        }
    }

    /** Actual state of a worker. */
    final class Machine
    {
        final String id;
        final List<Run> runs = new ArrayList<>();
        final List<Planner.Start> pendingStarts = new ArrayList<>();
        private final List<EndedRun> ends = new ArrayList<>();
        private final Map<String, Integer> highestEnded = new HashMap<>();
        private long endCount;
        private long readEnds;
        private boolean hasAnsweredOwner;
        boolean unresponsive;
        double slowness = 1;
        int stopsToLose;

        private Machine(String id)
        {
            this.id = id;
        }

        TrackedWorker tracked()
        {
            return cellState.findWorker(id).orElseThrow();
        }

        /** Executes the starts; a start that is not answered keeps its task uncertain. */
        void deliverStarts(boolean isAnswered)
        {
            for (Planner.Start start : pendingStarts)
            {
                start.task().markSent(clock.get());
                boolean isRefused = highestEnded.getOrDefault(start.task().name(), 0) >= start.run();
                if (!isRefused)
                {
                    runs.add(new Run(start, workMillis(start.task())));
                    checkStart(this, start);
                }
                if (isAnswered && !isRefused && start.task().isAt(start.worker(), start.run()))
                {
                    start.task().onStartAnswered(clock.get());
                }
            }
            pendingStarts.clear();
        }

        private void stop(Effects.Stop stop)
        {
            boolean isLost = stopsToLose > 0;
            stopsToLose = Math.max(0, stopsToLose - 1);
            if (isLost || unresponsive)
            {
                return;
            }
            end(stop.taskName(), stop.run(), RunEnd.STOPPED);
            highestEnded.merge(stop.taskName(), stop.run(), Math::max);
            if (stop.task() != null)
            {
                stop.task().onStopAnswered(stop.worker(), stop.run(), clock.get());
            }
        }

        /** Ends a run if it is there; the next heartbeat reports it. */
        void end(String task, int number, RunEnd how)
        {
            if (runs.removeIf(run -> run.task.equals(task) && run.number == number))
            {
                endCount++;
                if (how == RunEnd.DONE)
                {
                    doneTasks.add(task);
                }
                ends.add(new EndedRun(endCount, task, number, how, ""));
                highestEnded.merge(task, number, Math::max);
            }
        }

        private void advance(long millis)
        {
            runs.forEach(run -> run.doneMillis += millis / slowness);
            for (Run run : List.copyOf(runs))
            {
                if (run.doneMillis >= run.workMillis)
                {
                    end(run.task, run.number, RunEnd.DONE);
                }
            }
        }

        void heartbeat()
        {
            if (unresponsive)
            {
                tracked().recordMissedHeartbeat(clock.get(), false);
                return;
            }
            if (!hasAnsweredOwner)
            {
                // the first heartbeat of an owner blocks starts sent by an earlier owner
                pendingStarts.clear();
                hasAnsweredOwner = true;
            }
            Effects effects = cellState.applyHeartbeat(tracked(),
                    TestJobs.heartbeatReply(runs.stream().map(Run::row).toList(), List.copyOf(ends)),
                    readEnds, clock.get());
            readEnds = endCount;
            apply(effects);
            sendPendingStops();
        }

        /** Sends the stops again whose answers are missing, as a session does after a heartbeat. */
        private void sendPendingStops()
        {
            for (Task task : tracked().tasks())
            {
                if (task.phase() == Task.Phase.STOPPING && task.settledNanos() == Task.UNSETTLED)
                {
                    stop(new Effects.Stop(tracked(), task.name(), task.run(), task));
                }
            }
        }

        /** Ends all runs without a trace. */
        void lose(WorkerLossCause cause)
        {
            runs.clear();
            pendingStarts.clear();
            apply(cellState.onWorkerLost(tracked(), cause));
            unresponsive = false;
        }
    }

    final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    final List<Machine> machines = new ArrayList<>();
    final List<Effects.SettledCopy> settled = new ArrayList<>();
    final List<CopyPlanner.StartedCopy> copies = new ArrayList<>();
    final Map<String, Double> workMillisByTask = new HashMap<>();
    private final Map<String, JobRecord> records = new HashMap<>();
    private final Map<String, JobProgress> stored = new HashMap<>();
    private final Set<String> startedRuns = new HashSet<>();
    /** Tasks of which a run has ended successfully. */
    final Set<String> doneTasks = new HashSet<>();
    private final int capacityUnits;
    private int quotaUnits = 1_000;
    /** Maximum quota in units since each start was planned; lowering a quota stops no runs. */
    private final Map<String, Integer> quotaByStart = new HashMap<>();
    private long version = 1;
    CellState cellState;
    Planner planner;
    private CopyPlanner copyPlanner;
    boolean copiesEnabled = true;
    /** Whether the speeds of workers are estimated from their runs instead of being known. */
    boolean usesEstimates;

    CopyCell(int machineCount, int capacityUnits)
    {
        this.capacityUnits = capacityUnits;
        for (int i = 0; i < machineCount; i++)
        {
            machines.add(new Machine("w" + i));
        }
        startOwner();
    }

    static StepSpec step(int count, int units, boolean speculative)
    {
        return new StepSpec(count, units * CPU_PER_UNIT, 100, 0, 800, List.of(), false, false, false, null,
                null, 0, speculative, false, null, 0, false, 0);
    }

    private void startOwner()
    {
        cellState = new CellState(clock::get, LEASE_NANOS);
        planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
        copyPlanner = new CopyPlanner(cellState, planner,
                worker -> usesEstimates ? cellState.slowness(worker) : machine(worker).slowness);
        configure();
        machines.forEach(machine ->
        {
            machine.readEnds = 0;
            machine.hasAnsweredOwner = false;
            cellState.updateWorker(TestJobs.worker(machine.id, capacityUnits * CPU_PER_UNIT));
        });
    }

    private void configure()
    {
        ComputeResources quota = new ComputeResources(Customer.NO_LIMIT, quotaUnits * CPU_PER_UNIT,
                Customer.NO_LIMIT, Customer.NO_LIMIT);
        Customers customers = Customers
                .of(List.of(new Customers.Declared(new Customer(CUSTOMER, 1, quota), List.of("key"))));
        cellState.configure(new CellConfig(version, List.of(), List.of("service"), customers));
        version++;
    }

    void setQuota(int units)
    {
        quotaUnits = units;
        quotaByStart.replaceAll((start, allowed) -> Math.max(allowed, units));
        configure();
    }

    Machine machine(TrackedWorker worker)
    {
        return machines.stream().filter(machine -> machine.id.equals(worker.id())).findFirst().orElseThrow();
    }

    long nowMillis()
    {
        return TimeUnit.NANOSECONDS.toMillis(clock.get());
    }

    void accept(String id, StepSpec... steps)
    {
        JobRecord record = new JobRecord(id, QUEUE, new JobSpec("text", List.of(steps), 0, 0, 0), nowMillis(),
                CUSTOMER);
        records.put(id, record);
        cellState.accept(record, records.size(), null, nowMillis());
    }

    Task task(String id, int index)
    {
        return cellState.findTask(id + ".0.0." + index);
    }

    private double workMillis(Task task)
    {
        return workMillisByTask.getOrDefault(task.name(), (double) task.step().spec().estimateMillis());
    }

    /** Writes the changed jobs and sends the stops. */
    void apply(Effects effects)
    {
        settled.addAll(effects.settledCopies());
        effects.changedJobs().forEach(this::store);
        effects.stops().forEach(stop -> machine(stop.worker()).stop(stop));
    }

    private void store(Job job)
    {
        job.beginWrite();
        stored.put(job.id(), job.progress());
        job.endWrite();
    }

    JobState storedState(String id)
    {
        return stored.get(id).state();
    }

    /** Plans once; the starts are pending until they are delivered. */
    void plan()
    {
        cellState.speeds().check(clock.get());
        Planner.Plan plan = planner.plan(clock.get(), nowMillis());
        if (copiesEnabled)
        {
            copies.addAll(copyPlanner.plan(plan, clock.get(), nowMillis()));
        }
        addPending(plan);
    }

    /** Starts a copy regardless of its use; returns whether one was started. */
    boolean copy(Task task)
    {
        Planner.Plan plan = planner.plan(clock.get(), nowMillis());
        boolean isStarted = planner.startCopy(task, worker -> true, plan, clock.get()).isPresent();
        addPending(plan);
        return isStarted;
    }

    private void addPending(Planner.Plan plan)
    {
        for (Planner.Start start : plan.starts())
        {
            store(start.task().step().job());
            assertWithMessage("run of %s is new", key(start)).that(startedRuns.add(key(start))).isTrue();
            quotaByStart.put(key(start), quotaUnits);
            machine(start.worker()).pendingStarts.add(start);
        }
    }

    private static String key(Planner.Start start)
    {
        return start.task().name() + '/' + start.run();
    }

    /** Replaces the owner; the new one knows only what is stored. */
    void changeOwner()
    {
        startOwner();
        records.values()
                .forEach(record -> apply(cellState.accept(record, 1, stored.get(record.id()), nowMillis())));
        machines.forEach(Machine::heartbeat);
    }

    /** Advances all runs, then exchanges heartbeats and plans. */
    void advance(long millis)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
        machines.forEach(machine -> machine.advance(millis));
        machines.forEach(Machine::heartbeat);
        plan();
        machines.stream().filter(machine -> !machine.unresponsive)
                .forEach(machine -> machine.deliverStarts(true));
    }

    /** Checks the rules that each start must keep. */
    private void checkStart(Machine machine, Planner.Start start)
    {
        int used = machine.runs.stream().mapToInt(run -> run.step.needs().cpuMillis()).sum();
        assertWithMessage("capacity in use on %s", machine.id).that(used)
                .isAtMost(capacityUnits * CPU_PER_UNIT);
        int usedByCustomer = machines.stream().flatMap(other -> other.runs.stream())
                .mapToInt(run -> run.step.needs().cpuMillis()).sum();
        assertWithMessage("capacity in use by the customer").that(usedByCustomer)
                .isAtMost(quotaByStart.get(key(start)) * CPU_PER_UNIT);
        long runsOfTask = machines.stream().flatMap(other -> other.runs.stream())
                .filter(run -> run.task.equals(start.task().name())).count();
        if (!start.task().allowsDuplicateRuns())
        {
            assertWithMessage("runs of %s", start.task().name()).that(runsOfTask).isEqualTo(1);
        }
    }
}
