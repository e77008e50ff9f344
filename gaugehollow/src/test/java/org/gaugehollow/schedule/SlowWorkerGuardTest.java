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
import org.gaugehollow.urgency.StopCosts;
import org.junit.jupiter.api.Test;

/** Guards against missing slow workers and against taking slow tasks for slow workers. */
class SlowWorkerGuardTest
{
    private static final String FIRST = "00000000000000a1";
    private static final String SECOND = "00000000000000a2";
    private static final String THIRD = "00000000000000a3";
    private static final int WORKERS = 4;

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, 0);
    private final SlowWorkerGuard guard = new SlowWorkerGuard(cellState, StopCosts.DEFAULT);
    private final List<TrackedWorker> workers = new ArrayList<>();
    private final Map<TrackedWorker, List<Task>> tasks = new HashMap<>();

    /** Starts one task of each job on each worker. */
    private void runOnAllWorkers(String... jobs)
    {
        for (int i = 0; i < WORKERS; i++)
        {
            workers.add(cellState.updateWorker(TestJobs.worker("w" + i, 64_000)));
            tasks.put(workers.get(i), new ArrayList<>());
        }
        for (String job : jobs)
        {
            cellState.accept(TestJobs.job(job, TestJobs.step(WORKERS, 100, List.of())), 1, null, 0);
            for (int i = 0; i < WORKERS; i++)
            {
                Task task = cellState.findTask(job + ".0.0." + i);
                task.assign(workers.get(i), 1, clock.get());
                task.markRunning(clock.get());
                tasks.get(workers.get(i)).add(task);
            }
        }
    }

    private void heartbeat(int worker, int... percents)
    {
        List<RunningRun> runs = new ArrayList<>();
        List<Task> workerTasks = tasks.get(workers.get(worker));
        for (int i = 0; i < percents.length; i++)
        {
            runs.add(new RunningRun(workerTasks.get(i).name(), 1, "", percents[i], 0));
        }
        cellState.applyHeartbeat(workers.get(worker), TestJobs.heartbeatReply(runs, List.of()), 0,
                clock.get());
    }

    private void heartbeatFromNormalWorkers(int... percents)
    {
        for (int i = 1; i < WORKERS; i++)
        {
            heartbeat(i, percents);
        }
    }

    @Test
    void runsOnSlowWorkerAreMovedAndWorkerIsAvoided()
    {
        runOnAllWorkers(FIRST, SECOND);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        heartbeatFromNormalWorkers(50, 60);
        heartbeat(0, 8, 9);
        Effects effects = guard.check(clock.get());
        assertThat(effects.stops()).hasSize(2);
        assertThat(effects.stops().getFirst().worker()).isSameInstanceAs(workers.get(0));
        assertThat(workers.get(0).health().isAvoided(clock.get())).isTrue();
        assertThat(workers.get(1).health().isAvoided(clock.get())).isFalse();
    }

    @Test
    void workerWithOneNormalTaskIsNotSlow()
    {
        runOnAllWorkers(FIRST, SECOND, THIRD);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        heartbeatFromNormalWorkers(50, 60, 50);
        heartbeat(0, 8, 9, 45);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        assertThat(workers.get(0).health().isAvoided(clock.get())).isFalse();
    }

    @Test
    void workerWithSlowTasksOfOneStepOnlyIsNotSlow()
    {
        runOnAllWorkers(FIRST);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        heartbeatFromNormalWorkers(50);
        heartbeat(0, 8);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
    }

    @Test
    void workerThatBecomesSlowIsDetected()
    {
        runOnAllWorkers(FIRST, SECOND);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        heartbeatFromNormalWorkers(20, 20);
        heartbeat(0, 20, 20);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(800));
        heartbeatFromNormalWorkers(52, 52);
        heartbeat(0, 24, 24);
        assertThat(guard.check(clock.get()).stops()).hasSize(2);
    }

    @Test
    void nearlyFinishedRunStaysOnSlowWorker()
    {
        runOnAllWorkers(FIRST, SECOND);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        heartbeatFromNormalWorkers(30, 30);
        heartbeat(0, 40, 40);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_000));
        heartbeatFromNormalWorkers(90, 90);
        heartbeat(0, 60, 60);
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        assertThat(workers.get(0).health().isAvoided(clock.get())).isTrue();
    }
}
