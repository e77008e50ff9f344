/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.RunEnd;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against starts that exceed a worker's latest reported capacity, under any sequence of
 * capacity changes, submissions, stops and run ends.
 */
class CapacityPropertyTest
{
    private static final int CPU_PER_UNIT = 1_000;
    private static final int EVENT_KINDS = 5;

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, TimeUnit.SECONDS.toNanos(14));
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private final List<Task> running = new ArrayList<>();
    private TrackedWorker worker;
    private int jobCount;
    private long endCount;

    /** Applies an event; the number selects its kind and amount. */
    private void applyEvent(int number)
    {
        int amount = number / EVENT_KINDS;
        switch (number % EVENT_KINDS)
        {
            case 0 -> resize(amount);
            case 1 -> accept(amount % 4 + 1);
            case 2 -> stop(amount);
            case 3 -> end(amount);
            default -> heartbeat();
        }
    }

    private void resize(int units)
    {
        worker = cellState.updateWorker(TestJobs.worker("w1", units * CPU_PER_UNIT));
        worker.recordHeartbeat(clock.get());
    }

    private void accept(int units)
    {
        jobCount++;
        cellState.accept(TestJobs.job(String.format("%016x", jobCount),
                TestJobs.step(1 + jobCount % 3, units * CPU_PER_UNIT, List.of())), 1, null, 0);
    }

    private void stop(int index)
    {
        if (!running.isEmpty())
        {
            Task task = running.get(index % running.size());
            if (task.phase() == Task.Phase.RUNNING)
            {
                new Effects().stop(task);
            }
        }
    }

    private void end(int index)
    {
        if (!running.isEmpty())
        {
            Task task = running.remove(index % running.size());
            endCount++;
            RunEnd end = task.phase() == Task.Phase.STOPPING ? RunEnd.STOPPED : RunEnd.DONE;
            cellState.applyHeartbeat(worker,
                    TestJobs.heartbeatReply(runningRuns(), List.of(TestJobs.endedRun(endCount, task, end))),
                    endCount - 1, clock.get());
        }
    }

    private void heartbeat()
    {
        cellState.applyHeartbeat(worker, TestJobs.heartbeatReply(runningRuns(), List.of()), endCount,
                clock.get());
    }

    private List<RunningRun> runningRuns()
    {
        return running.stream().map(TestJobs::runningRun).toList();
    }

    private void plan()
    {
        List<Planner.Start> starts = planner.plan(clock.get(), 0).starts();
        for (Planner.Start start : starts)
        {
            start.task().markSent(clock.get());
            start.task().onStartAnswered(clock.get());
            running.add(start.task());
        }
        if (!starts.isEmpty())
        {
            assertWithMessage("capacity %s, used %s", worker.entry().capacity(), worker.used())
                    .that(worker.isOvercommitted()).isFalse();
        }
    }

    @Property
    void startsNeverExceedTheLatestCapacity(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 99) Integer> events)
    {
        resize(16);
        for (int number : events)
        {
            clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
            applyEvent(number);
            plan();
        }
    }
}
