/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.RunEnd;

/** Workers of a small cell, its customers and a planner; runs end after their estimate. */
final class CustomerCell
{
    static final int CPU = 1_000;
    static final int WORKERS = 4;
    static final int UNITS_PER_WORKER = 4;
    /** Allows a job of one 800 ms step 9 s. */
    static final QueueSpec QUEUE = new QueueSpec("patient", "service", 2, 3, 1_000, 10, null);
    static final QueueSpec URGENT = new QueueSpec("urgent", "service", 1, 3, 1_000, 10, null);
    static final QueueSpec SLOW = new QueueSpec("slow", "service", 2, 3, 30_000, 10, null);
    /** More than any test sends in a second, so that no job is beyond the weight. */
    static final double WEIGHT = 1_000;
    static final int TICK_MILLIS = 50;

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final Map<Task, Long> endMillis = new HashMap<>();
    private final List<JobRecord> accepted = new ArrayList<>();
    private final Map<String, Long> endCounts = new HashMap<>();
    private CellState cellState;
    private Planner planner;
    private Planner.Plan lastPlan;
    private long wallMillis;
    private long configVersion = 1;

    CustomerCell()
    {
        startOwner();
    }

    /** Begins with an empty cell state, as a new owner does. */
    void startOwner()
    {
        cellState = new CellState(clock::get, TimeUnit.SECONDS.toNanos(13));
        planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
        configure(Map.of("north", WEIGHT, "south", WEIGHT, "west", WEIGHT));
    }

    void configure(Map<String, Double> weights)
    {
        List<Customers.Declared> declared = new ArrayList<>();
        weights.forEach((name, weight) -> declared
                .add(new Customers.Declared(new Customer(name, weight, Customer.UNLIMITED), List.of())));
        cellState.configure(
                new CellConfig(configVersion, List.of(), List.of("service"), Customers.of(declared)));
        configVersion++;
    }

    void listWorkers()
    {
        for (int i = 0; i < WORKERS; i++)
        {
            cellState.updateWorker(TestJobs.worker("w" + i, UNITS_PER_WORKER * CPU))
                    .recordHeartbeat(clock.get());
        }
    }

    String accept(String customer, QueueSpec queue, StepSpec step)
    {
        String id = String.format("%016x", accepted.size() + 1);
        JobRecord job = new JobRecord(id, queue, new JobSpec("text", List.of(step), 0, 0, 0), wallMillis,
                customer);
        accepted.add(job);
        cellState.accept(job, accepted.size(), null, wallMillis);
        return id;
    }

    void acceptMany(String customer, int jobs, int tasks)
    {
        for (int i = 0; i < jobs; i++)
        {
            accept(customer, QUEUE, TestJobs.step(tasks, CPU, List.of()));
        }
    }

    /** Lets a tick pass, ends the runs that are due and plans; returns the customers of the starts. */
    List<String> tick()
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS));
        wallMillis += TICK_MILLIS;
        for (Task task : List.copyOf(endMillis.keySet()))
        {
            if (endMillis.get(task) <= wallMillis)
            {
                end(task);
            }
        }
        lastPlan = planner.plan(clock.get(), wallMillis);
        List<String> customers = new ArrayList<>();
        for (Planner.Start start : lastPlan.starts())
        {
            start.task().markRunning(clock.get());
            StepSpec spec = start.task().step().spec();
            endMillis.put(start.task(),
                    spec.longRunning() ? Long.MAX_VALUE : wallMillis + spec.estimateMillis());
            customers.add(start.task().step().job().record().customer());
        }
        return customers;
    }

    void end(Task task)
    {
        endMillis.remove(task);
        TrackedWorker worker = task.worker();
        long number = endCounts.merge(worker.id(), 1L, Long::sum);
        List<HeartbeatReply.RunningRun> others = worker.tasks().stream().filter(other -> other != task)
                .map(TestJobs::runningRun).toList();
        cellState.applyHeartbeat(worker,
                TestJobs.heartbeatReply(others, List.of(TestJobs.endedRun(number, task, RunEnd.DONE))),
                number - 1, clock.get());
    }

    /** Replaces the owner; the new one reads the jobs' progress. */
    void changeOwner()
    {
        Map<JobRecord, JobProgress> recorded = new HashMap<>();
        accepted.forEach(
                job -> recorded.put(job, cellState.findTask(job.id() + ".0.0.0").step().job().progress()));
        List<Task> running = List.copyOf(endMillis.keySet());
        startOwner();
        accepted.forEach(
                job -> cellState.accept(job, accepted.indexOf(job) + 1, recorded.get(job), wallMillis));
        listWorkers();
        running.forEach(task -> endMillis.put(cellState.findTask(task.name()), endMillis.remove(task)));
    }

    /** Ends some runs of a customer at once. */
    void endRuns(String customer, int count)
    {
        endMillis.keySet().stream().filter(task -> customer.equals(task.step().job().record().customer()))
                .limit(count).toList().forEach(this::end);
    }

    CellState cellState()
    {
        return cellState;
    }

    Planner planner()
    {
        return planner;
    }

    Planner.Plan lastPlan()
    {
        return lastPlan;
    }
}
