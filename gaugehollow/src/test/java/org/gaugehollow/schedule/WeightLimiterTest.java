/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.junit.jupiter.api.Test;

/** Guards against a customer that exceeds its weight delaying the jobs of others in a full cell. */
class WeightLimiterTest
{
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(1_000);
    private static final int TASK_CPU = 1_000;
    private static final int MAX_RUNNING_TASKS = 4;

    private final CellState cellState = new CellState(() -> NOW_NANOS, 0);
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private final List<String> startedCustomers = new ArrayList<>();
    private int jobCount;

    private void configure(double weight)
    {
        List<Customers.Declared> declared = new ArrayList<>();
        for (String name : List.of("loud", "quiet"))
        {
            declared.add(new Customers.Declared(new Customer(name, weight, Customer.UNLIMITED), List.of()));
        }
        cellState.configure(new CellConfig(1, List.of(), List.of("service"), Customers.of(declared)));
    }

    private void accept(String customer, long atMillis, StepSpec step)
    {
        jobCount++;
        cellState.accept(new JobRecord(String.format("%016x", jobCount), TestJobs.QUEUE,
                new JobSpec("text", List.of(step), 0, 0, 0), atMillis, customer), jobCount, null, 0);
    }

    private void accept(String customer, long atMillis)
    {
        accept(customer, atMillis, TestJobs.step(1, TASK_CPU, List.of()));
    }

    private void plan()
    {
        planner.plan(NOW_NANOS, 0).starts()
                .forEach(start -> startedCustomers.add(start.task().step().job().record().customer()));
    }

    private void listWorker(int tasks)
    {
        cellState.updateWorker(TestJobs.worker("w1", tasks * TASK_CPU)).recordHeartbeat(NOW_NANOS);
    }

    @Test
    void jobsBeyondWeightWaitBehindOtherCustomersJobsWithinWeight()
    {
        configure(2);
        for (int i = 0; i < 12; i++)
        {
            accept("loud", i * 10);
        }
        accept("quiet", 200);
        accept("quiet", 210);
        listWorker(MAX_RUNNING_TASKS);
        plan();
        assertThat(startedCustomers).containsExactly("loud", "loud", "quiet", "quiet");
    }

    @Test
    void idleCapacityIsUsedBeyondWeight()
    {
        configure(2);
        for (int i = 0; i < MAX_RUNNING_TASKS; i++)
        {
            accept("loud", i);
        }
        listWorker(MAX_RUNNING_TASKS);
        plan();
        assertThat(startedCustomers).hasSize(MAX_RUNNING_TASKS);
    }

    @Test
    void weightAppliesPerSecond()
    {
        configure(1);
        for (int i = 0; i < 8; i++)
        {
            accept("loud", i * 500);
        }
        accept("quiet", 0);
        cellState.waitingByUrgency(0);
        long within = cellState.waitingByUrgency(0).stream().filter(job -> !job.isBeyondWeight()).count();
        assertThat(within).isEqualTo(5);
    }

    @Test
    void longRunningJobsAreNeverBeyondWeight()
    {
        configure(1);
        accept("loud", 0);
        accept("loud", 1, TestJobs.longRunning(1));
        assertThat(cellState.waitingByUrgency(0).stream().filter(Job::isBeyondWeight).count()).isEqualTo(0);
    }
}
