/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.junit.jupiter.api.Test;

/** Slow workers are told from slow tasks. */
class SlowWorkerGuardTest
{
    private static final String FIRST = "00000000000000a1";
    private static final String SECOND = "00000000000000a2";
    private static final String THIRD = "00000000000000a3";
    private static final int WORKERS = 4;

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState ledger = new CellState(clock::get, 0);
    private final SlowWorkerGuard guard = new SlowWorkerGuard(ledger);
    private final List<TrackedWorker> slots = new ArrayList<>();
    private final Map<TrackedWorker, List<Task>> tasks = new HashMap<>();

    /** Each job has one task on each worker. */
    private void runOnAllWorkers(String... jobs)
    {
        for (int i = 0; i < WORKERS; i++)
        {
            slots.add(ledger.list(TestJobs.worker("w" + i, 64_000)));
            tasks.put(slots.get(i), new ArrayList<>());
        }
        for (String job : jobs)
        {
            ledger.accept(TestJobs.job(job, TestJobs.step(WORKERS, 100, List.of())), 1, null, 0);
            for (int i = 0; i < WORKERS; i++)
            {
                Task task = ledger.find(job + ".0.0." + i);
                task.order(slots.get(i), 1, clock.get());
                task.begun(clock.get());
                tasks.get(slots.get(i)).add(task);
            }
        }
    }

    private void look(int worker, int... percents)
    {
        List<RunningRun> runs = new ArrayList<>();
        List<Task> there = tasks.get(slots.get(worker));
        for (int i = 0; i < percents.length; i++)
        {
            runs.add(new RunningRun(there.get(i).name(), 1, "", percents[i], 0));
        }
        ledger.applyHeartbeat(slots.get(worker), TestJobs.answer(runs, List.of()), 0, clock.get());
    }

    private void lookAtNormalWorkers(int... percents)
    {
        for (int i = 1; i < WORKERS; i++)
        {
            look(i, percents);
        }
    }

    @Test
    void whatRunsOnASlowWorkerIsMovedAndTheWorkerAvoided()
    {
        runOnAllWorkers(FIRST, SECOND);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        lookAtNormalWorkers(50, 60);
        look(0, 8, 9);
        Effects effects = guard.check(clock.get());
        assertThat(effects.stops()).hasSize(2);
        assertThat(effects.stops().getFirst().slot()).isSameInstanceAs(slots.get(0));
        assertThat(slots.get(0).health().isAvoided(clock.get())).isTrue();
        assertThat(slots.get(1).health().isAvoided(clock.get())).isFalse();
    }

    @Test
    void slowTasksBesideOneInTimeDoNotMakeTheirWorkerSlow()
    {
        runOnAllWorkers(FIRST, SECOND, THIRD);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        lookAtNormalWorkers(50, 60, 50);
        look(0, 8, 9, 45);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        assertThat(slots.get(0).health().isAvoided(clock.get())).isFalse();
    }

    @Test
    void slowTasksOfOneStepAloneDoNotMakeTheirWorkerSlow()
    {
        runOnAllWorkers(FIRST);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        lookAtNormalWorkers(50);
        look(0, 8);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
    }

    @Test
    void aWorkerThatTurnsSlowIsFoundThoughItsRunsBeganInTime()
    {
        runOnAllWorkers(FIRST, SECOND);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        lookAtNormalWorkers(20, 20);
        look(0, 20, 20);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(800));
        lookAtNormalWorkers(52, 52);
        look(0, 24, 24);
        assertThat(guard.check(clock.get()).stops()).hasSize(2);
    }

    @Test
    void aRunThatIsNearlyOverStaysOnASlowWorker()
    {
        runOnAllWorkers(FIRST, SECOND);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        lookAtNormalWorkers(30, 30);
        look(0, 40, 40);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_000));
        lookAtNormalWorkers(90, 90);
        look(0, 60, 60);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        assertThat(slots.get(0).health().isAvoided(clock.get())).isTrue();
    }
}
