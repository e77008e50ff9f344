/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

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
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;

/** Replays the decisions of an owner on workers of different speed, in ticks of 10 ms. */
final class SpeedCell
{
    private static final long TICK_MILLIS = 10;
    private static final long HEARTBEAT_MILLIS = 700;
    /** Time from the plan until a run begins: the write of its record and the command. */
    private static final long START_MILLIS = 80;
    private static final int WORKER_CPU = 16_000;
    private static final double UNEVENNESS = 0.15;
    private static final double OUTLIER_FACTOR = 7;

    /** A run with its work and progress, in milliseconds at normal speed. */
    private static final class Run
    {
        private final Planner.Start start;
        private final double workMillis;
        private final long startMillis;
        private double doneMillis;

        Run(Planner.Start start, double workMillis, long startMillis)
        {
            this.startMillis = startMillis;
            this.start = start;
            this.workMillis = workMillis;
        }

        RunningRun report()
        {
            boolean isLasting = start.task().step().spec().longRunning();
            int percent = isLasting ? 100 : (int) (100 * doneMillis / workMillis);
            return new RunningRun(start.task().name(), start.run(), "", percent, 0);
        }
    }

    /** A worker with its true speed. */
    final class Machine
    {
        private final List<Run> runs = new ArrayList<>();
        private final List<EndedRun> ends = new ArrayList<>();
        private final String name;
        private TrackedWorker worker;
        private double slowness;
        private long lastEnd;
        private long heartbeatMillis;

        Machine(String name, String kind, double slowness)
        {
            this.name = name;
            this.slowness = slowness;
            list(kind);
            heartbeatMillis = nowMillis + random.nextInt((int) HEARTBEAT_MILLIS) - HEARTBEAT_MILLIS;
        }

        /** Lists the worker in the cell. */
        void list(String kind)
        {
            worker = cellState.updateWorker(new WorkerEntry(WorkerIncarnation.withUnknownStart(name),
                    "service", "127.0.0.1:1", "hall", false, -1,
                    new ComputeResources(0, WORKER_CPU, 65_536, 0), Set.of(kind, "r1-1"), "r1-1"));
            worker.recordHeartbeat(clock.get());
        }

        void setSlowness(double newSlowness)
        {
            slowness = newSlowness;
        }

        TrackedWorker worker()
        {
            return worker;
        }

        private void tick()
        {
            for (Iterator<Run> iterator = runs.iterator(); iterator.hasNext();)
            {
                Run run = iterator.next();
                run.doneMillis += nowMillis > run.startMillis ? TICK_MILLIS / slowness : 0;
                if (run.doneMillis >= run.workMillis && !run.start.task().step().spec().longRunning())
                {
                    iterator.remove();
                    lastEnd++;
                    ends.add(
                            new EndedRun(lastEnd, run.start.task().name(), run.start.run(), RunEnd.DONE, ""));
                }
            }
            if (!ends.isEmpty() || nowMillis - heartbeatMillis >= HEARTBEAT_MILLIS)
            {
                heartbeatMillis = nowMillis;
                cellState.applyHeartbeat(worker,
                        TestJobs.heartbeatReply(runs.stream().map(Run::report).toList(), List.copyOf(ends)),
                        0, clock.get());
                ends.clear();
            }
        }
    }

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final Random random;
    private final boolean learns;
    private final double outlierShare;
    private final List<Machine> machines = new ArrayList<>();
    private final List<JobRecord> records = new ArrayList<>();
    /** Work of each task by its name. */
    private final Map<String, Double> workMillis = new HashMap<>();
    private final Map<Job, Long> endMillis = new HashMap<>();
    private final List<Job> jobs = new ArrayList<>();
    private final Map<String, Integer> longRunningStarts = new HashMap<>();
    private final List<String> placements = new ArrayList<>();
    private CellState cellState;
    private Planner planner;
    private long nowMillis;

    /**
     * @param seed seed of the work of the tasks
     * @param learns whether the speeds of the workers are estimated
     * @param outlierShare share of tasks that take 7 times as long by themselves
     */
    SpeedCell(long seed, boolean learns, double outlierShare)
    {
        this.outlierShare = outlierShare;
        this.random = new Random(seed);
        this.learns = learns;
        startOwner();
    }

    private void startOwner()
    {
        cellState = new CellState(clock::get, TimeUnit.SECONDS.toNanos(14));
        planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    }

    /** Adds workers of a kind and returns them. */
    List<Machine> addMachines(String kind, int count, double slowness)
    {
        List<Machine> added = new ArrayList<>();
        for (int i = 0; i < count; i++)
        {
            added.add(new Machine(kind + i, kind, slowness));
        }
        machines.addAll(added);
        return added;
    }

    /** Replaces the owner by one that knows only the stored progress of the jobs. */
    void changeOwner()
    {
        Map<String, Job> previous = new HashMap<>();
        jobs.forEach(job -> previous.put(job.id(), job));
        startOwner();
        jobs.clear();
        for (JobRecord record : records)
        {
            cellState.accept(record, 1, previous.get(record.id()).progress(), nowMillis);
            Task task = cellState.findTask(record.id() + ".0.0.0");
            if (task != null)
            {
                jobs.add(task.step().job());
            }
        }
        machines.forEach(machine -> machine.list(machine.name.substring(0, 1)));
    }

    /** Accepts a job of equal steps in sequence; its estimate is off by up to a half. */
    void accept(QueueSpec queue, int steps, int tasks, int cpu, long taskMillis, boolean lasting)
    {
        double jobMillis = taskMillis * (0.7 + 0.6 * random.nextDouble());
        long estimateMillis = (long) (jobMillis * (0.6 + 0.8 * random.nextDouble()));
        List<StepSpec> specs = new ArrayList<>();
        for (int i = 0; i < steps; i++)
        {
            specs.add(new StepSpec(tasks, cpu, 100, 0, estimateMillis, i == 0 ? List.of() : List.of(i - 1),
                    false, false, false, null, null, 0, false, lasting, null, 0, false, 0));
        }
        JobRecord record = new JobRecord(String.format("%016x", records.size() + 1), queue,
                new JobSpec("text", specs, 0, 0, 0), nowMillis);
        records.add(record);
        cellState.accept(record, records.size(), null, nowMillis);
        Job job = cellState.findTask(record.id() + ".0.0.0").step().job();
        jobs.add(job);
        for (Step step : job.round(0))
        {
            step.tasks().forEach(task -> workMillis.put(task.name(), jobMillis * unevenness()));
        }
    }

    private double unevenness()
    {
        double factor = Math.exp(UNEVENNESS * random.nextGaussian());
        return random.nextDouble() < outlierShare ? factor * OUTLIER_FACTOR : factor;
    }

    /** Advances the time, with the action in each tick. */
    void run(long millis, Runnable action)
    {
        long end = nowMillis + millis;
        while (nowMillis < end)
        {
            nowMillis += TICK_MILLIS;
            clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS));
            action.run();
            machines.forEach(Machine::tick);
            jobs.stream().filter(job -> job.state() == JobState.COMPLETED)
                    .forEach(job -> endMillis.putIfAbsent(job, nowMillis));
            if (learns)
            {
                cellState.speeds().check(clock.get());
            }
            planner.plan(clock.get(), nowMillis).starts().forEach(this::start);
        }
    }

    private void start(Planner.Start start)
    {
        placements.add(start.task().name() + " on " + start.worker().id());
        start.task().markSent(clock.get());
        start.task().onStartAnswered(clock.get());
        if (start.task().step().spec().longRunning())
        {
            longRunningStarts.merge(start.worker().id(), 1, Integer::sum);
        }
        Machine target = machines.stream().filter(machine -> machine.worker == start.worker()).findFirst()
                .orElseThrow();
        target.runs.add(new Run(start, workMillis.get(start.task().name()), nowMillis + START_MILLIS));
    }

    /** Returns the share of the completed jobs of a queue that met their objective. */
    double shareInTime(QueueSpec queue, long fromMillis)
    {
        List<Job> completed = jobs.stream().filter(job -> endMillis.containsKey(job)
                && job.queue().equals(queue) && job.record().acceptedMillis() >= fromMillis).toList();
        long inTime = completed.stream().filter(this::isInTime).count();
        return (double) inTime / completed.size();
    }

    private boolean isInTime(Job job)
    {
        double chainMillis = job.round(0).stream().mapToDouble(step -> step.tasks().stream()
                .mapToDouble(task -> workMillis.get(task.name())).max().orElseThrow()).sum();
        double objectiveMillis = job.queue().targetMillis() + job.queue().stretch() * chainMillis;
        return endMillis.get(job) - job.record().acceptedMillis() <= objectiveMillis;
    }

    /** Returns the number of completed jobs of a queue. */
    long completed(QueueSpec queue)
    {
        return endMillis.keySet().stream().filter(job -> job.queue().equals(queue)).count();
    }

    /** Returns the number of lasting tasks that were started on the given workers. */
    int longRunningStartsOn(List<Machine> on)
    {
        return on.stream().mapToInt(machine -> longRunningStarts.getOrDefault(machine.name, 0)).sum();
    }

    /** Returns all placements in their order. */
    List<String> placements()
    {
        return placements;
    }

    CellState cellState()
    {
        return cellState;
    }

    Planner planner()
    {
        return planner;
    }

    Random random()
    {
        return random;
    }

    long nowMillis()
    {
        return nowMillis;
    }
}
