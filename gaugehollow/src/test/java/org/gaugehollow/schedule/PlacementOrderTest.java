/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

/** Guards against a full cell that serves customers by what they send and not by their weights. */
class PlacementOrderTest
{
    private final CustomerCell cell = new CustomerCell();

    private static long count(List<String> customers, String customer)
    {
        return customers.stream().filter(customer::equals).count();
    }

    /** Fails if a job of many tasks counts as one of few, or running work counts for nothing. */
    @Test
    void floodOfLargeJobsLeavesOthersTheirParts()
    {
        cell.listWorkers();
        cell.acceptMany("north", 20, 20);
        assertThat(count(cell.tick(), "north")).isEqualTo(16);
        cell.acceptMany("south", 1, 5);
        cell.acceptMany("west", 1, 5);
        cell.endRuns("north", 10);
        assertThat(cell.tick()).containsExactlyElementsIn(
                List.of("south", "south", "south", "south", "south", "west", "west", "west", "west", "west"));
    }

    @Test
    void weightsDivideFullCell()
    {
        cell.configure(Map.of("north", 3 * CustomerCell.WEIGHT, "south", CustomerCell.WEIGHT));
        cell.listWorkers();
        for (int i = 0; i < 100; i++)
        {
            cell.acceptMany("south", 1, 1);
        }
        for (int i = 0; i < 100; i++)
        {
            cell.acceptMany("north", 1, 1);
        }
        List<String> started = cell.tick();
        assertThat(count(started, "north")).isEqualTo(12);
        assertThat(count(started, "south")).isEqualTo(4);
    }

    @Test
    void urgencyComesBeforeShares()
    {
        cell.listWorkers();
        cell.acceptMany("south", 20, 20);
        for (int i = 0; i < 20; i++)
        {
            cell.accept("north", CustomerCell.URGENT, TestJobs.step(20, CustomerCell.CPU, List.of()));
        }
        assertThat(Set.copyOf(cell.tick())).containsExactly("north");
    }

    /** Guards against delays of old jobs by an order that nobody needs. */
    @Test
    void jobsThatWillAllBeInTimeAreServedByAge()
    {
        cell.listWorkers();
        cell.acceptMany("north", 2, 16);
        cell.tick();
        cell.acceptMany("south", 1, 16);
        cell.endRuns("north", 10);
        assertThat(Set.copyOf(cell.tick())).containsExactly("north");
        assertThat(cell.lastPlan().heldBack()).isEmpty();
    }

    /** Guards against all steps being half done and none finished. */
    @Test
    void stepThatHasBegunKeepsItsPlace()
    {
        cell.configure(Map.of("north", CustomerCell.WEIGHT, "south", CustomerCell.WEIGHT));
        cell.listWorkers();
        cell.acceptMany("west", 1, 16);
        cell.tick();
        cell.acceptMany("north", 30, 6);
        cell.acceptMany("south", 30, 6);
        cell.endRuns("west", 2);
        assertThat(cell.tick()).containsExactly("north", "north");
        cell.endRuns("west", 2);
        assertThat(cell.tick()).containsExactly("north", "north");
    }

    @Test
    void newOwnerKnowsSharesAtOnce()
    {
        cell.listWorkers();
        cell.acceptMany("north", 20, 20);
        cell.tick();
        cell.acceptMany("south", 20, 20);
        cell.changeOwner();
        cell.endRuns("north", 6);
        List<String> started = cell.tick();
        assertThat(started).hasSize(6);
        assertThat(Set.copyOf(started)).containsExactly("south");
    }

    @Test
    void changedWeightAppliesToWhatRuns()
    {
        cell.configure(Map.of("north", CustomerCell.WEIGHT, "south", CustomerCell.WEIGHT));
        cell.listWorkers();
        cell.acceptMany("north", 20, 1);
        cell.acceptMany("south", 20, 1);
        cell.acceptMany("north", 100, 1);
        cell.acceptMany("south", 100, 1);
        cell.tick();
        cell.configure(Map.of("north", 7 * CustomerCell.WEIGHT, "south", CustomerCell.WEIGHT));
        cell.endRuns("south", 4);
        assertThat(Set.copyOf(cell.tick())).containsExactly("north");
    }

    /** Guards against work of a removed customer being lost or going ahead of that of the others. */
    @Test
    void removedCustomerIsServedLikeTheSmallest()
    {
        cell.listWorkers();
        cell.acceptMany("north", 100, 1);
        cell.acceptMany("south", 100, 1);
        cell.configure(Map.of("south", 3 * CustomerCell.WEIGHT, "west", CustomerCell.WEIGHT));
        List<String> started = cell.tick();
        assertThat(count(started, "north")).isEqualTo(4);
        assertThat(count(started, "south")).isEqualTo(12);
    }

    @Test
    void workWithoutCustomerGetsAtMostHalfOfFullCell()
    {
        cell.listWorkers();
        cell.acceptMany(null, 200, 1);
        cell.acceptMany("south", 200, 1);
        cell.acceptMany("north", 200, 1);
        cell.acceptMany("west", 200, 1);
        long started = cell.tick().stream().filter(customer -> customer == null).count();
        assertThat(started).isAtMost(8);
        assertThat(started).isAtLeast(7);
    }

    /** Guards against a customer above its part that never gets another start. */
    @Test
    void overdueCustomerIsServedBeforeOthers()
    {
        cell.configure(Map.of("north", CustomerCell.WEIGHT, "south", 100 * CustomerCell.WEIGHT));
        cell.listWorkers();
        cell.accept("north", CustomerCell.SLOW, TestJobs.longRunning(8));
        cell.tick();
        for (int i = 0; i < 400; i++)
        {
            cell.accept("south", CustomerCell.SLOW, TestJobs.step(1, CustomerCell.CPU, List.of()));
            cell.accept("south", CustomerCell.SLOW, TestJobs.step(1, CustomerCell.CPU, List.of()));
        }
        cell.accept("north", CustomerCell.SLOW, TestJobs.step(1, CustomerCell.CPU, List.of()));
        assertThat(ticksUntilStartOf("north")).isAtMost(6_000 / CustomerCell.TICK_MILLIS);
    }

    /** Guards against small tasks that keep taking the capacity that a large task needs. */
    @Test
    void overdueLargeTaskGetsCapacityKeptFromSmallTasks()
    {
        cell.listWorkers();
        for (int i = 0; i < 1_200; i++)
        {
            cell.accept(i % 2 == 0 ? "south" : "west", CustomerCell.SLOW,
                    TestJobs.step(1, CustomerCell.CPU, List.of()));
            if (i < CustomerCell.UNITS_PER_WORKER * CustomerCell.WORKERS)
            {
                cell.tick();
            }
        }
        cell.accept("north", CustomerCell.SLOW,
                TestJobs.step(1, CustomerCell.UNITS_PER_WORKER * CustomerCell.CPU, List.of()));
        assertThat(ticksUntilStartOf("north")).isAtMost(8_000 / CustomerCell.TICK_MILLIS);
    }

    private int ticksUntilStartOf(String customer)
    {
        int ticks = 1;
        while (!cell.tick().contains(customer))
        {
            ticks++;
            assertThat(ticks).isLessThan(1_000);
        }
        return ticks;
    }

    @Test
    void heldBackCustomerIsReported()
    {
        cell.listWorkers();
        cell.acceptMany("north", 20, 20);
        cell.tick();
        cell.acceptMany("south", 20, 20);
        cell.endRuns("north", 2);
        cell.tick();
        assertThat(cell.lastPlan().heldBack().keySet()).containsExactly("north");
        assertThat(cell.lastPlan().heldBack().get("north")).contains("a younger job of south");
        assertThat(cell.planner().customers().shares()).containsKey("north");
        assertThat(cell.planner().customers().shares().get("north")).isWithin(0.01).of(14 * 3 / 16.0);
        assertThat(cell.planner().customers().waitingTasks().get("south")).isEqualTo(398.0);
    }

    @Test
    void metricsListCustomersWithLargestSharesOnly()
    {
        List<CustomerSnapshot.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 100; i++)
        {
            entries.add(new CustomerSnapshot.Entry("c" + i, i, 1));
        }
        Map<String, Double> shares = new CustomerSnapshot(entries).shares();
        assertThat(shares).hasSize(CustomerSnapshot.MAX_CUSTOMERS);
        assertThat(shares).containsEntry("c99", 99.0);
    }
}
