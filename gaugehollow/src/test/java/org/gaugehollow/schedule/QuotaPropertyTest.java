/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.RunEnd;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against starts that raise a customer's actual usage above its quota, under any sequence of
 * job submissions, delayed starts, run ends, lease expiries, owner changes and quota changes.
 */
class QuotaPropertyTest
{
    private static final int EVENT_KINDS = 9;
    private static final int CPU_PER_UNIT = 1_000;
    private static final int WORKERS = 2;
    private static final int CAPACITY_UNITS = 40;
    private static final List<String> CUSTOMERS = List.of("north", "south");
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(14);

    /** Actual state of a worker: its runs and the starts not yet delivered to it. */
    private final class SimulatedWorker
    {
        private final String id;
        private final List<Planner.Start> pendingStarts = new ArrayList<>();
        private final Map<String, Planner.Start> running = new HashMap<>();
        private final List<EndedRun> ended = new ArrayList<>();
        private long endCount;
        private boolean unresponsive;

        private SimulatedWorker(String id)
        {
            this.id = id;
        }

        private void deliverStarts()
        {
            for (Planner.Start start : pendingStarts)
            {
                running.put(start.task().name(), start);
                assertWithinQuota(start);
            }
            pendingStarts.clear();
        }

        /** Ends a run, and its whole gang if all members are running. */
        private void end(int index, RunEnd end)
        {
            List<String> names = running.keySet().stream().sorted().toList();
            if (names.isEmpty())
            {
                return;
            }
            Planner.Start start = running.get(names.get(index % names.size()));
            if (start.task().step().spec().gang())
            {
                endGang(start, end);
            }
            else
            {
                endOne(start, end);
            }
        }

        /** Ends a run; the next heartbeat reports it. */
        private void endOne(Planner.Start start, RunEnd end)
        {
            running.remove(start.task().name());
            endCount++;
            ended.add(new EndedRun(endCount, start.task().name(), start.run(), end, ""));
        }

        private void heartbeat()
        {
            if (!unresponsive)
            {
                if (!acknowledgedEnds.containsKey(id))
                {
                    // the first heartbeat of an owner blocks starts sent by an earlier owner
                    pendingStarts.clear();
                }
                List<RunningRun> runs = running.values().stream()
                        .map(start -> new RunningRun(start.task().name(), start.run(), "", 1, 0)).toList();
                TrackedWorker worker = cellState.findWorker(id).orElseThrow();
                cellState.applyHeartbeat(worker, TestJobs.heartbeatReply(runs, List.copyOf(ended)),
                        acknowledgedEnds.getOrDefault(id, 0L), clock.get());
                acknowledgedEnds.put(id, endCount);
            }
        }

        /** Expires the lease: all runs have ended and the owner knows. */
        private void expireLease()
        {
            running.clear();
            pendingStarts.clear();
            cellState.onWorkerLost(cellState.findWorker(id).orElseThrow(), WorkerLossCause.LAPSED);
            unresponsive = false;
        }
    }

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final List<JobRecord> accepted = new ArrayList<>();
    private final Map<String, Integer> quotaUnits = new HashMap<>();
    private final Map<String, Long> acknowledgedEnds = new HashMap<>();
    /** Stored progress by job id. */
    private final Map<String, JobProgress> recorded = new HashMap<>();
    private final List<SimulatedWorker> workers = new ArrayList<>();
    /** Maximum quota in units since each start was planned; lowering a quota stops no runs. */
    private final Map<String, Integer> maxAllowedUnits = new HashMap<>();
    private final Map<String, String> customerByStart = new HashMap<>();
    private CellState cellState;
    private Planner planner;
    private long version = 1;

    /** Ends a whole gang, because its members only run together. */
    private void endGang(Planner.Start first, RunEnd end)
    {
        Map<Planner.Start, SimulatedWorker> members = new HashMap<>();
        for (SimulatedWorker worker : workers)
        {
            worker.running.values().stream()
                    .filter(start -> start.run() == first.run()
                            && start.task().step().name().equals(first.task().step().name()))
                    .forEach(start -> members.put(start, worker));
        }
        if (members.size() < first.task().step().tasks().size())
        {
            return;
        }
        RunEnd otherEnd = end == RunEnd.DONE ? RunEnd.DONE : RunEnd.BROKEN;
        members.forEach((start, worker) -> worker.endOne(start, start == first ? end : otherEnd));
    }

    private static String startKey(Planner.Start start)
    {
        return start.task().name() + '/' + start.run();
    }

    private void assertWithinQuota(Planner.Start start)
    {
        String customer = start.task().step().job().record().customer();
        int units = 0;
        for (SimulatedWorker worker : workers)
        {
            for (Planner.Start run : worker.running.values())
            {
                if (customer.equals(run.task().step().job().record().customer()))
                {
                    units += run.task().step().needs().cpuMillis() / CPU_PER_UNIT;
                }
            }
        }
        assertWithMessage("units in use by %s when %s starts", customer, start.task().name()).that(units)
                .isAtMost(maxAllowedUnits.get(startKey(start)));
    }

    private void configure()
    {
        List<Customers.Declared> declared = CUSTOMERS
                .stream().map(
                        name -> new Customers.Declared(new Customer(name, 1,
                                new ComputeResources(Customer.NO_LIMIT, quotaUnits.get(name) * CPU_PER_UNIT,
                                        Customer.NO_LIMIT, Customer.NO_LIMIT)),
                                List.of("key of " + name)))
                .toList();
        cellState.configure(new CellConfig(version, List.of(), List.of("service"), Customers.of(declared)));
        version++;
    }

    private void startOwner()
    {
        cellState = new CellState(clock::get, LEASE_NANOS);
        planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
        acknowledgedEnds.clear();
        configure();
    }

    /** Replaces the owner: the new one reads the stored progress and then sends heartbeats. */
    private void changeOwner()
    {
        accepted.forEach(record -> progressOf(record.id()).ifPresent(p -> recorded.put(record.id(), p)));
        startOwner();
        accepted.forEach(record -> cellState.accept(record, 1, recorded.get(record.id()), 0));
        for (SimulatedWorker worker : workers)
        {
            listWorker(worker);
            worker.heartbeat();
        }
    }

    private Optional<JobProgress> progressOf(String id)
    {
        Task first = cellState.findTask(id + ".0.0.0");
        return first == null ? Optional.empty() : Optional.of(first.step().job().progress());
    }

    private void listWorker(SimulatedWorker worker)
    {
        cellState.updateWorker(TestJobs.worker(worker.id, CAPACITY_UNITS * CPU_PER_UNIT));
    }

    private void accept(int amount)
    {
        StepSpec step = amount % 3 == 0
                ? TestJobs.gang(2, (amount % 4 + 1) * CPU_PER_UNIT)
                : TestJobs.step(1 + amount % 3, (amount % 4 + 1) * CPU_PER_UNIT, List.of());
        JobRecord job = TestJobs.job(String.format("%016x", accepted.size() + 1), step);
        JobRecord owned = new JobRecord(job.id(), job.queue(), job.job(), job.acceptedMillis(),
                CUSTOMERS.get(amount % CUSTOMERS.size()));
        accepted.add(owned);
        cellState.accept(owned, accepted.size(), null, 0);
    }

    private void changeQuota(int amount)
    {
        quotaUnits.put(CUSTOMERS.get(amount % CUSTOMERS.size()), amount);
        maxAllowedUnits.replaceAll(
                (startKey, units) -> Math.max(units, quotaUnits.get(customerByStart.get(startKey))));
        configure();
    }

    /** Applies an event; the number selects its kind and amount. */
    private void applyEvent(int number)
    {
        int amount = number / EVENT_KINDS;
        SimulatedWorker worker = workers.get(amount % WORKERS);
        switch (number % EVENT_KINDS)
        {
            case 0, 1 -> accept(amount);
            case 2 -> worker.deliverStarts();
            case 3 -> worker.end(amount, RunEnd.DONE);
            case 4 -> worker.end(amount, RunEnd.FAILED);
            case 5 -> worker.unresponsive = !worker.unresponsive;
            case 6 -> worker.expireLease();
            case 7 -> changeOwner();
            default -> changeQuota(amount);
        }
    }

    private void plan()
    {
        Set<String> startKeys = new HashSet<>();
        for (Planner.Start start : planner.plan(clock.get(), 0).starts())
        {
            start.task().markSent(clock.get());
            String customer = start.task().step().job().record().customer();
            String startKey = startKey(start);
            maxAllowedUnits.put(startKey, quotaUnits.get(customer));
            customerByStart.put(startKey, customer);
            assertWithMessage("run started only once").that(startKeys.add(startKey)).isTrue();
            workers.stream().filter(worker -> worker.id.equals(start.worker().id())).findFirst()
                    .orElseThrow().pendingStarts.add(start);
        }
    }

    /**
     * Guards against the end of an old gang run being taken for that of a new run after owner changes.
     */
    @Example
    void finishedGangStaysFinishedAcrossOwnerChanges()
    {
        customerUsageNeverExceedsQuota(List.of(0, 0, 0, 0, 2, 11, 3, 7, 7, 2, 5, 16, 47));
    }

    /** Guards against runs of a failed job being dropped from the usage after an owner change. */
    @Example
    void runsOfFailedJobCountAfterOwnerChange()
    {
        List<Integer> events = new ArrayList<>(List.of(0, 36, 11, 0, 0, 2, 0, 0, 3));
        events.addAll(Collections.nCopies(15, 0));
        events.addAll(List.of(4, 16, 0, 0, 0, 0, 0, 13, 0, 2, 0, 0, 0, 0, 76, 34, 0, 0, 11));
        customerUsageNeverExceedsQuota(events);
    }

    @Property(tries = 500)
    void customerUsageNeverExceedsQuota(
            @ForAll @Size(min = 1, max = 80) List<@IntRange(min = 0, max = 120) Integer> events)
    {
        accepted.clear();
        recorded.clear();
        maxAllowedUnits.clear();
        workers.clear();
        CUSTOMERS.forEach(name -> quotaUnits.put(name, 6));
        for (int i = 1; i <= WORKERS; i++)
        {
            workers.add(new SimulatedWorker("w" + i));
        }
        startOwner();
        workers.forEach(this::listWorker);
        for (int number : events)
        {
            clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
            applyEvent(number);
            workers.forEach(SimulatedWorker::heartbeat);
            plan();
        }
    }
}
