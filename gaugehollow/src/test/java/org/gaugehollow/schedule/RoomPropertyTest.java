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
 * Whatever the order in which a worker's room shrinks and grows, jobs come, runs are stopped and
 * end: nothing is placed on it beyond the room that it told last, and what is being stopped counts.
 */
class RoomPropertyTest
{
    private static final int CPU_PER_UNIT = 1_000;
    private static final int KINDS = 5;

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState ledger = new CellState(clock::get, TimeUnit.SECONDS.toNanos(14));
    private final Planner planner = new Planner(ledger, new NoTickets(), new WaitingFirstScore(0.5));
    private final List<Task> begun = new ArrayList<>();
    private TrackedWorker slot;
    private int jobs;
    private long ends;

    /** One event; the number picks which, and how much. */
    private void happen(int number)
    {
        int amount = number / KINDS;
        switch (number % KINDS)
        {
            case 0 -> tellRoom(amount);
            case 1 -> accept(amount % 4 + 1);
            case 2 -> stop(amount);
            case 3 -> end(amount);
            default -> look();
        }
    }

    private void tellRoom(int units)
    {
        slot = ledger.list(TestJobs.worker("w1", units * CPU_PER_UNIT));
        slot.recordHeartbeat(clock.get());
    }

    private void accept(int units)
    {
        jobs++;
        ledger.accept(TestJobs.job(String.format("%016x", jobs),
                TestJobs.step(1 + jobs % 3, units * CPU_PER_UNIT, List.of())), 1, null, 0);
    }

    private void stop(int which)
    {
        if (!begun.isEmpty())
        {
            Task task = begun.get(which % begun.size());
            if (task.phase() == Task.Phase.RUNNING)
            {
                new Effects().stop(task);
            }
        }
    }

    private void end(int which)
    {
        if (!begun.isEmpty())
        {
            Task task = begun.remove(which % begun.size());
            ends++;
            RunEnd how = task.phase() == Task.Phase.STOPPING ? RunEnd.STOPPED : RunEnd.DONE;
            ledger.applyHeartbeat(slot, TestJobs.answer(rows(), List.of(TestJobs.ended(ends, task, how))),
                    ends - 1, clock.get());
        }
    }

    private void look()
    {
        ledger.applyHeartbeat(slot, TestJobs.answer(rows(), List.of()), ends, clock.get());
    }

    private List<RunningRun> rows()
    {
        return begun.stream().map(TestJobs::running).toList();
    }

    private void plan()
    {
        List<Planner.Start> starts = planner.plan(clock.get(), 0).starts();
        for (Planner.Start start : starts)
        {
            start.task().sent();
            start.task().startAnswered(clock.get());
            begun.add(start.task());
        }
        if (!starts.isEmpty())
        {
            assertWithMessage("room %s, used %s", slot.entry().capacity(), slot.used())
                    .that(slot.isOvercommitted()).isFalse();
        }
    }

    @Property
    void nothingIsPlacedBeyondTheRoomThatWasToldLast(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 99) Integer> events)
    {
        tellRoom(16);
        for (int number : events)
        {
            clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
            happen(number);
            plan();
        }
    }
}
