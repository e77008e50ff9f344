/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.admission.BacklogAccount;
import org.gaugehollow.admission.ServiceCapacity;
import org.gaugehollow.admission.WaitingClass;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.Test;

/**
 * Guards against an account that misses waiting work or takes other waits for a lack of capacity.
 */
class BacklogScanTest
{
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(1_000);
    private static final int TASK_CPU = 2_000;

    private final CellState cellState = new CellState(() -> NOW_NANOS, 0);
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private final OwnerLease lease = new OwnerLease("self", 7, 1, 0, SteadyClock.nanos());
    private int jobCount;

    private TrackedWorker addWorker(int cpu)
    {
        TrackedWorker worker = cellState.updateWorker(TestJobs.worker("w" + cpu, cpu));
        worker.recordHeartbeat(NOW_NANOS);
        return worker;
    }

    private Job accept(QueueSpec queue, String customer, StepSpec... steps)
    {
        jobCount++;
        JobRecord record = new JobRecord(String.format("%016x", jobCount), queue,
                new JobSpec("text", List.of(steps), 0, 0, 0), 0, customer);
        cellState.accept(record, jobCount, null, 0);
        return cellState.jobs().stream().filter(job -> job.id().equals(record.id())).findFirst()
                .orElseThrow();
    }

    private Job accept(StepSpec... steps)
    {
        return accept(TestJobs.QUEUE, null, steps);
    }

    private Optional<BacklogAccount> planAndScan(long wallMillis)
    {
        planner.plan(NOW_NANOS, wallMillis);
        return new BacklogScan(cellState, planner, lease).scan(NOW_NANOS, wallMillis);
    }

    private static ServiceCapacity capacityOf(Optional<BacklogAccount> account)
    {
        return account.orElseThrow().capacity("service").orElseThrow();
    }

    @Test
    void nothingIsSentWhileNothingWaits()
    {
        addWorker(16_000);
        accept(TestJobs.step(2, TASK_CPU, List.of()));
        assertThat(planAndScan(0)).isEqualTo(Optional.empty());
    }

    @Test
    void waitingWorkIncludesLaterSteps()
    {
        addWorker(4_000);
        accept(TestJobs.step(3, TASK_CPU, List.of()), TestJobs.step(5, 1_000, List.of(0)));
        accept(TestJobs.step(1, TASK_CPU, List.of()));
        BacklogAccount account = planAndScan(0).orElseThrow();
        assertThat(account.owner()).isEqualTo("self");
        assertThat(account.term()).isEqualTo(7);
        long arrivals = (3 * 1_600 + 5 * 800 + 1_600) / 4;
        assertThat(account.waiting()).containsExactly(
                new WaitingClass("service", 0, false, false, 1_600 + 5 * 800 + 1_600, 1, arrivals));
        assertThat(account.capacities()).containsExactly(new ServiceCapacity("service",
                ComputeResources.NONE.max(new ComputeResources(0, 0, 32_568, 0)), 0, 0,
                (long) (4_000 / 1.5)));
    }

    @Test
    void longRunningTasksAreNeitherWorkNorCompleted()
    {
        addWorker(3_000);
        accept(TestJobs.longRunning(1));
        accept(TestJobs.step(2, TASK_CPU, List.of()));
        Optional<BacklogAccount> account = planAndScan(0);
        assertThat(capacityOf(account).drainPerSecond()).isEqualTo((long) (2_000 / 1.5));
        assertThat(account.orElseThrow().waiting().getFirst().coreMillis()).isEqualTo(1_600);
    }

    @Test
    void completedTasksAreMeasured()
    {
        TrackedWorker worker = addWorker(2_000);
        Job job = accept(TestJobs.step(9, TASK_CPU, List.of()));
        planner.plan(NOW_NANOS, 0);
        Task running = job.tasksOnWorkers().getFirst();
        cellState.applyHeartbeat(worker,
                TestJobs.heartbeatReply(List.of(), List.of(TestJobs.endedRun(1, running, RunEnd.DONE))), 0,
                NOW_NANOS);
        assertThat(cellState.completions().perSecond("service", NOW_NANOS)).isEqualTo(1_600 / 4);
    }

    /** Tasks that wait for advice are about to use the free capacity. */
    @Test
    void freeCapacityIsClaimedByTasksThatWaitForAdvice()
    {
        addWorker(16_000);
        accept(TestJobs.ADVISED_QUEUE, null, TestJobs.step(3, TASK_CPU, List.of()));
        ServiceCapacity capacity = capacityOf(planAndScan(0));
        assertThat(capacity.claimedCpuMillis()).isEqualTo(3 * TASK_CPU);
        assertThat(capacity.freeCpuMillis()).isEqualTo(16_000);
        assertThat(capacity.largestFree().cpuMillis()).isEqualTo(16_000);
    }

    @Test
    void lateAndUselessJobsAreToldApart()
    {
        addWorker(1_000);
        accept(TestJobs.step(1, TASK_CPU, List.of()));
        assertThat(planAndScan(0).orElseThrow().waiting().getFirst().late()).isFalse();
        assertThat(planAndScan(3_000).orElseThrow().waiting().getFirst().late()).isTrue();
        assertThat(planAndScan(60_000)).isEqualTo(Optional.empty());
    }

    /** Otherwise the backlog of a customer at its quota makes others wait in an empty cell. */
    @Test
    void workThatWaitsForAQuotaIsLeftOut()
    {
        addWorker(16_000);
        configure(new ComputeResources(0, TASK_CPU, Customer.NO_LIMIT, Customer.NO_LIMIT));
        accept(TestJobs.QUEUE, "limited", TestJobs.step(5, TASK_CPU, List.of()));
        assertThat(planAndScan(0)).isEqualTo(Optional.empty());
    }

    @Test
    void workBeyondAWeightIsCountedApart()
    {
        addWorker(1_000);
        configure(Customer.UNLIMITED);
        accept(TestJobs.QUEUE, "limited", TestJobs.step(1, TASK_CPU, List.of()));
        assertThat(planAndScan(0).orElseThrow().customersAtWeight()).containsExactly("limited");
        accept(TestJobs.QUEUE, "limited", TestJobs.step(1, TASK_CPU, List.of()));
        BacklogAccount account = planAndScan(0).orElseThrow();
        List<Boolean> beyond = new ArrayList<>();
        account.waiting().forEach(waiting -> beyond.add(waiting.beyondWeight()));
        assertThat(beyond).containsExactly(true, false);
        assertThat(planAndScan(1_001).orElseThrow().customersAtWeight()).isEmpty();
    }

    private void configure(ComputeResources quota)
    {
        Customers customers = Customers
                .of(List.of(new Customers.Declared(new Customer("limited", 1, quota), List.of())));
        cellState.configure(new CellConfig(1, List.of(), List.of("service"), customers));
    }
}
