/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against customers that never get a start, and against a changed order where customers do
 * not compete.
 */
class PlacementOrderPropertyTest
{
    private static final List<String> NAMES = List.of("north", "south", "west");
    /**
     * Time until a customer is overdue, and for each of the customers the longest run and its
     * reservation.
     */
    private static final int MAX_GAP_TICKS = 10_000 / CustomerCell.TICK_MILLIS;
    private static final int TICKS = 20_000 / CustomerCell.TICK_MILLIS;
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(1_000);
    private static final List<QueueSpec> QUEUES = List.of(CustomerCell.QUEUE, CustomerCell.URGENT,
            CustomerCell.SLOW);

    private static StepSpec step(int tasks, int units, int millis)
    {
        return new StepSpec(tasks, units * CustomerCell.CPU, 100, 0, millis, List.of(), false, false, false,
                null, null, 0, false, false, null, 0, false, 0);
    }

    /** Guards against a customer whose waiting tasks fit beside lasting ones while others go ahead. */
    @Property(tries = 10)
    void noCustomerWaitsForEver(@ForAll @Size(3) List<@IntRange(min = 1, max = 9) Integer> weights,
            @ForAll @Size(3) List<@IntRange(min = 1, max = 3) Integer> units,
            @ForAll @Size(3) List<@IntRange(min = 4, max = 16) Integer> twentiethsOfSecond,
            @ForAll @IntRange(min = 0, max = 9) int lastingTasks)
    {
        CustomerCell cell = new CustomerCell();
        Map<String, Double> weightByName = new HashMap<>();
        NAMES.forEach(name -> weightByName.put(name, CustomerCell.WEIGHT * weights.get(NAMES.indexOf(name))));
        cell.configure(weightByName);
        cell.listWorkers();
        if (lastingTasks > 0)
        {
            cell.accept("north", CustomerCell.SLOW, TestJobs.longRunning(lastingTasks));
            cell.tick();
        }
        for (int i = 0; i < 600; i++)
        {
            int customer = i % NAMES.size();
            cell.accept(NAMES.get(customer), CustomerCell.SLOW,
                    step(1 + i % 5, units.get(customer), 50 * twentiethsOfSecond.get(customer)));
        }
        assertNobodyWaitsLong(cell);
    }

    private static void assertNobodyWaitsLong(CustomerCell cell)
    {
        Map<String, Integer> lastStart = new HashMap<>();
        for (int tick = 0; tick < TICKS; tick++)
        {
            for (String customer : cell.tick())
            {
                lastStart.put(customer, tick);
            }
            for (String name : NAMES)
            {
                assertWithMessage("ticks without a start of %s at tick %s", name, tick)
                        .that(tick - lastStart.getOrDefault(name, 0)).isAtMost(MAX_GAP_TICKS);
            }
        }
    }

    /** Returns the steps in the order in which they are placed, with and without regard to shares. */
    private static List<List<Step>> placements(List<Integer> jobs, String customer)
    {
        CellState cellState = new CellState(() -> NOW_NANOS, 0);
        for (int i = 0; i < jobs.size(); i++)
        {
            int number = jobs.get(i);
            StepSpec spec = number % 7 == 0
                    ? TestJobs.longRunning(1)
                    : step(1 + number % 3, 1 + number % 4, 100 * number);
            cellState.accept(
                    new JobRecord(String.format("%016x", i), QUEUES.get(number % QUEUES.size()),
                            new JobSpec("text", List.of(spec), 0, 0, 0), number * 500L, customer),
                    i, null, 50_000);
        }
        List<Job> byUrgency = cellState.waitingByUrgency(50_000);
        List<Step> byShare = new ArrayList<>();
        List<Step> inOrder = new ArrayList<>();
        PlacementOrder.placeInOrder(byUrgency, (step, overdue) -> record(step, inOrder));
        new PlacementOrder().placeByShare(byUrgency, QuotaUsage.of(Customers.of(List.of()), List.of()),
                new PlacementOrder.Round(Map.of("north", 1.0, "south", 2.0),
                        new ComputeResources(0, 1_000, 1_000, 0), NOW_NANOS, 50_000),
                (step, overdue) -> record(step, byShare));
        return Arrays.asList(byShare, inOrder);
    }

    private static PlacementOrder.Outcome record(Step step, List<Step> steps)
    {
        steps.add(step);
        return new PlacementOrder.Outcome(steps.size() % 2 == 0, true, true);
    }

    @Property(tries = 200)
    void oneCustomerOrNoneIsServedByUrgency(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 99) Integer> jobs)
    {
        for (String customer : Arrays.asList("north", null))
        {
            List<List<Step>> placements = placements(jobs, customer);
            assertThat(placements.get(0)).containsExactlyElementsIn(placements.get(1)).inOrder();
        }
    }
}
