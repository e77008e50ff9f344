/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TaskClass;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against wrong resource accounting, queue order, shares and policy changes. */
class PlacementEngineTest
{
    private static final ComputeResources ONE_SLOT = new ComputeResources(1, 0, 0, 0);
    private static final ComputeResources WORKER = new ComputeResources(4, 4_000, 8_192, 0);
    private final PolicyRegistry registry = new PolicyRegistry();
    private PlacementEngine engine;
    private int taskCount;

    @BeforeEach
    void createEngine()
    {
        engine = newEngine(EngineLimits.defaults());
    }

    private PlacementEngine newEngine(EngineLimits limits)
    {
        return new PlacementEngine(limits, assignments("waiting-first"), SteadyClock::nanos);
    }

    private PolicyAssignments assignments(String type)
    {
        PlacementPolicy policy = registry.create(new PolicySpec(type, null, null));
        return new PolicyAssignments(Map.of(), Map.of(), new PolicyAssignments.NamedPolicy(type, policy));
    }

    private TaskDemand demand(TaskClass taskClass, String team, int weight, int limit)
    {
        taskCount++;
        return new TaskDemand("t" + taskCount, taskClass, team, weight, limit, ONE_SLOT, inSeconds(30));
    }

    private static long inSeconds(int seconds)
    {
        return SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(seconds);
    }

    /** Starts a placement on another thread; returns when the task waits or the placement is done. */
    private CompletableFuture<Placement> placeAsync(TaskDemand demand) throws InterruptedException
    {
        CompletableFuture<Placement> result = new CompletableFuture<>();
        Thread thread = Thread.startVirtualThread(() ->
        {
            try
            {
                result.complete(engine.place(demand, inSeconds(30)));
            }
            catch (GaugehollowException | InterruptedException e)
            {
                result.completeExceptionally(e);
            }
        });
        while (thread.getState() != Thread.State.TIMED_WAITING && !result.isDone())
        {
            Thread.sleep(1);
        }
        return result;
    }

    @Test
    void placesNoMoreThanTheFreeCapacityOfAWorker()
    {
        engine.putWorker("w1", 1, WORKER, new ComputeResources(1, 0, 0, 0), true);
        List<Placement> placed = new ArrayList<>();
        for (Optional<Placement> p = engine.tryPlace(demand(TaskClass.URGENT, "a", 1, 0)); p
                .isPresent(); p = engine.tryPlace(demand(TaskClass.URGENT, "a", 1, 0)))
        {
            placed.add(p.get());
        }
        assertThat(placed).hasSize(3);
        engine.release(placed.getFirst());
        assertThat(engine.tryPlace(demand(TaskClass.URGENT, "a", 1, 0))).isPresent();
        assertThat(engine.tryPlace(demand(TaskClass.URGENT, "a", 1, 0))).isEmpty();
    }

    @Test
    void releaseAfterOwnershipChangeFreesNothing()
    {
        engine.putWorker("w1", 1, WORKER, ComputeResources.NONE, true);
        Placement old = engine.tryPlace(demand(TaskClass.URGENT, "a", 1, 0)).orElseThrow();
        engine.removeWorker("w1");
        engine.putWorker("w1", 3, WORKER, ONE_SLOT, true);
        engine.release(old);
        engine.release(old);
        assertThat(engine.freeCapacity().slots()).isEqualTo(3);
    }

    @Test
    void urgentTaskIsPlacedBeforeEarlierBookingTask() throws Exception
    {
        engine.putWorker("w1", 1, ONE_SLOT, ComputeResources.NONE, true);
        Placement running = engine.tryPlace(demand(TaskClass.URGENT, "a", 1, 0)).orElseThrow();
        CompletableFuture<Placement> booking = placeAsync(demand(TaskClass.BOOKING, "a", 1, 0));
        CompletableFuture<Placement> urgent = placeAsync(demand(TaskClass.URGENT, "a", 1, 0));
        engine.release(running);
        Placement first = urgent.get(10, TimeUnit.SECONDS);
        assertThat(booking.isDone()).isFalse();
        engine.release(first);
        assertThat(booking.get(10, TimeUnit.SECONDS).worker()).isEqualTo("w1");
    }

    @Test
    void waitingTeamsAreServedByWeight() throws Exception
    {
        engine.putWorker("w1", 1, ONE_SLOT, ComputeResources.NONE, true);
        Placement running = engine.tryPlace(demand(TaskClass.BOOKING, "z", 1, 0)).orElseThrow();
        List<CompletableFuture<Placement>> waiting = new ArrayList<>();
        for (int i = 0; i < 30; i++)
        {
            waiting.add(placeAsync(demand(TaskClass.BOOKING, "heavy", 3, 0)));
        }
        for (int i = 0; i < 10; i++)
        {
            waiting.add(placeAsync(demand(TaskClass.BOOKING, "light", 1, 0)));
        }
        int heavyPlacements = 0;
        for (int i = 0; i < 20; i++)
        {
            engine.release(running);
            running = removeNextDone(waiting);
            heavyPlacements += "heavy".equals(running.demand().team()) ? 1 : 0;
        }
        assertThat(heavyPlacements).isAtLeast(13);
        assertThat(heavyPlacements).isAtMost(17);
    }

    private static Placement removeNextDone(List<CompletableFuture<Placement>> waiting) throws Exception
    {
        while (true)
        {
            for (CompletableFuture<Placement> future : waiting)
            {
                if (future.isDone())
                {
                    waiting.remove(future);
                    return future.get();
                }
            }
            Thread.sleep(1);
        }
    }

    @Test
    void batchTasksLeaveCapacityForUrgentTasks()
    {
        for (int i = 0; i < 5; i++)
        {
            engine.putWorker("w" + i, 1, WORKER, ComputeResources.NONE, true);
        }
        int batch = 0;
        while (engine.tryPlace(demand(TaskClass.BATCH, "a", 1, 0)).isPresent())
        {
            batch++;
        }
        assertThat(batch).isEqualTo(17);
        assertThat(engine.tryPlace(demand(TaskClass.URGENT, "a", 1, 0))).isPresent();
    }

    @Test
    void teamLimitCapsRunningTasks()
    {
        engine.putWorker("w1", 1, WORKER, ComputeResources.NONE, true);
        assertThat(engine.tryPlace(demand(TaskClass.BOOKING, "a", 1, 2))).isPresent();
        assertThat(engine.tryPlace(demand(TaskClass.BOOKING, "a", 1, 2))).isPresent();
        assertThat(engine.tryPlace(demand(TaskClass.BOOKING, "a", 1, 2))).isEmpty();
        assertThat(engine.tryPlace(demand(TaskClass.BOOKING, "b", 1, 2))).isPresent();
    }

    @Test
    void fullQueueShedsLeastUrgentTask() throws Exception
    {
        engine = newEngine(new EngineLimits(Map.of(), 2, 1));
        CompletableFuture<Placement> batch = placeAsync(demand(TaskClass.BATCH, "a", 1, 0));
        CompletableFuture<Placement> booking = placeAsync(demand(TaskClass.BOOKING, "a", 1, 0));
        CompletableFuture<Placement> urgent = placeAsync(demand(TaskClass.URGENT, "a", 1, 0));
        Exception shedFailure = assertThrows(Exception.class, () -> batch.get(10, TimeUnit.SECONDS));
        assertThat(((GaugehollowException) shedFailure.getCause()).code()).isEqualTo(ResultCode.PREEMPTED);
        GaugehollowException rejection = assertThrows(GaugehollowException.class,
                () -> engine.place(demand(TaskClass.BATCH, "a", 1, 0), inSeconds(30)));
        assertThat(rejection.code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(booking.isDone() || urgent.isDone()).isFalse();
    }

    @Test
    void policyChangeKeepsWaitingTasksAndTheirOrder() throws Exception
    {
        engine.putWorker("w1", 1, ONE_SLOT, ComputeResources.NONE, true);
        Placement running = engine.tryPlace(demand(TaskClass.BOOKING, "a", 1, 0)).orElseThrow();
        List<CompletableFuture<Placement>> waiting = new ArrayList<>();
        for (int i = 0; i < 20; i++)
        {
            waiting.add(placeAsync(demand(TaskClass.BOOKING, "a", 1, 0)));
        }
        String[] types = {"packing-first", "round-robin", "waiting-first", "random"};
        for (int i = 0; i < 20; i++)
        {
            engine.setPolicies(assignments(types[i % types.length]));
            assertThat(waiting.get(i).isDone()).isFalse();
            engine.release(running);
            running = waiting.get(i).get(10, TimeUnit.SECONDS);
            assertThat(running.policy()).isEqualTo(types[i % types.length]);
        }
    }

    @Test
    void placeTimesOutWithNoRoom()
    {
        GaugehollowException timeout = assertThrows(GaugehollowException.class,
                () -> engine.place(demand(TaskClass.URGENT, "a", 1, 0), SteadyClock.nanos() + 1_000_000));
        assertThat(timeout.code()).isEqualTo(ResultCode.NO_ROOM);
        assertThat(engine.waitingCount()).isEqualTo(0);
    }

    @Test
    void taskWithUnreachableDeadlineIsRejectedImmediately() throws Exception
    {
        AtomicLong clock = new AtomicLong(1);
        engine = new PlacementEngine(EngineLimits.defaults(), assignments("waiting-first"), clock::get);
        engine.putWorker("w1", 1, ONE_SLOT, ComputeResources.NONE, true);
        Placement running = engine.tryPlace(demand(TaskClass.BOOKING, "a", 1, 0)).orElseThrow();
        List<CompletableFuture<Placement>> waiting = new ArrayList<>();
        for (int i = 0; i < 5; i++)
        {
            waiting.add(placeAsync(demand(TaskClass.BOOKING, "a", 1, 0)));
        }
        clock.addAndGet(TimeUnit.SECONDS.toNanos(1));
        engine.release(running);
        running = waiting.getFirst().get(10, TimeUnit.SECONDS);
        TaskDemand reachable = new TaskDemand("t-long", TaskClass.BOOKING, "a", 1, 0, ONE_SLOT,
                clock.get() + TimeUnit.SECONDS.toNanos(5));
        TaskDemand unreachable = new TaskDemand("t-short", TaskClass.BOOKING, "a", 1, 0, ONE_SLOT,
                clock.get() + TimeUnit.SECONDS.toNanos(3));
        TaskDemand urgent = new TaskDemand("t-urgent", TaskClass.URGENT, "a", 1, 0, ONE_SLOT,
                clock.get() + TimeUnit.SECONDS.toNanos(3));
        GaugehollowException rejection = assertThrows(GaugehollowException.class,
                () -> engine.place(unreachable, unreachable.deadlineNanos()));
        assertThat(rejection.code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(placeAsync(reachable).isDone()).isFalse();
        assertThat(placeAsync(urgent).isDone()).isFalse();
        assertThat(running.worker()).isEqualTo("w1");
    }
}
