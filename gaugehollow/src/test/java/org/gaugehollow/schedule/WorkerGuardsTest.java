/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;
import org.junit.jupiter.api.Test;

/**
 * Guards against runs that stay on draining workers, stalled runs and unthrottled best-effort
 * tasks.
 */
class WorkerGuardsTest
{
    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, 0);
    private final TrackedWorker worker = cellState.updateWorker(TestJobs.worker("w1", 64_000));

    private static StepSpec longRunning(int count, long target, boolean bestEffort)
    {
        return new StepSpec(count, 100, 100, 0, 800, List.of(), true, false, false, null, null, 0, false,
                !bestEffort, "x", target, bestEffort, 1);
    }

    private static StepSpec checkpointing()
    {
        return new StepSpec(1, 100, 100, 0, 10_000, List.of(), true, false, false, null, null, 0, false,
                false, null, 0, false, 0);
    }

    private Task startRunning(StepSpec step, String id)
    {
        Job job = new Job(TestJobs.job(id, step), 1);
        cellState.accept(job.record(), 1, null, 0);
        Task task = cellState.findTask(id + ".0.0.0");
        task.assign(worker, 1, clock.get());
        task.markRunning(clock.get());
        task.settle(clock.get());
        return task;
    }

    private void heartbeat(Task task, int percent, double gauge)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        cellState.applyHeartbeat(worker, TestJobs.heartbeatReply(
                List.of(new RunningRun(task.name(), 1, "", percent, gauge)), List.of()), 0, clock.get());
    }

    private void drain(long remainingMillis)
    {
        cellState.updateWorker(
                new WorkerEntry(WorkerIncarnation.withUnknownStart("w1"), "service", "127.0.0.1:1", "hall",
                        true, remainingMillis, new ComputeResources(0, 64_000, 32_768, 0), Set.of(), "r"));
    }

    @Test
    void longRunningTaskLeavesDrainingWorker()
    {
        Task task = startRunning(longRunning(1, 0, false), TestJobs.ID);
        heartbeat(task, 100, 0);
        Evacuation evacuation = new Evacuation(cellState);
        assertThat(evacuation.evacuate(clock.get()).stops()).isEmpty();
        drain(-1);
        assertThat(evacuation.evacuate(clock.get()).stops()).hasSize(1);
    }

    @Test
    void taskThatCanFinishInTimeStaysOnDrainingWorker()
    {
        Task task = startRunning(checkpointing(), TestJobs.ID);
        heartbeat(task, 50, 0);
        Evacuation evacuation = new Evacuation(cellState);
        drain(5_000);
        assertThat(evacuation.evacuate(clock.get()).stops()).isEmpty();
        drain(100);
        assertThat(evacuation.evacuate(clock.get()).stops()).hasSize(1);
    }

    @Test
    void stalledRunIsStoppedAndItsWorkerAvoided()
    {
        Task task = startRunning(checkpointing(), TestJobs.ID);
        StallGuard guard = new StallGuard(cellState);
        for (int i = 1; i <= 8; i++)
        {
            heartbeat(task, i, 0);
        }
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        for (int i = 1; i <= 6; i++)
        {
            heartbeat(task, 8, 0);
        }
        assertThat(guard.check(clock.get()).stops()).hasSize(1);
        assertThat(worker.health().isAvoided(clock.get())).isTrue();
    }

    @Test
    void bestEffortTasksAreThrottledNearTheServingTarget()
    {
        Task serving = startRunning(longRunning(1, 100, false), TestJobs.ID);
        Task bestEffort = startRunning(longRunning(1, 0, true), "00000000000000bb");
        serving.observe(100, 50, clock.get());
        assertThat(ThrottleController.adjust(worker, clock.get())).isEmpty();
        serving.observe(100, 90, clock.get());
        assertThat(ThrottleController.adjust(worker, clock.get()).getFirst().percent()).isEqualTo(50);
        serving.observe(100, 120, clock.get());
        assertThat(ThrottleController.adjust(worker, clock.get()).getFirst().percent()).isEqualTo(0);
        serving.observe(100, 30, clock.get());
        assertThat(ThrottleController.adjust(worker, clock.get())).isEmpty();
        clock.addAndGet(TimeUnit.SECONDS.toNanos(3));
        assertThat(ThrottleController.adjust(worker, clock.get()).getFirst().percent()).isEqualTo(25);
        assertThat(bestEffort.speedLimitPercent()).isEqualTo(25);
    }

    @Test
    void wholeGangIsStoppedWhenOneMemberStalls()
    {
        startGang();
        clock.addAndGet(TimeUnit.SECONDS.toNanos(4));
        worker.recordHeartbeat(clock.get());
        assertThat(new StallGuard(cellState).check(clock.get()).stops()).hasSize(2);
    }

    private List<Task> startGang()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.gang(2, 100)), 1, null, 0);
        List<Task> members = cellState.findTask(TestJobs.ID + ".0.0.0").step().tasks();
        for (Task task : members)
        {
            task.assign(worker, 1, clock.get());
            task.markRunning(clock.get());
        }
        return members;
    }

    /** A member that has done its work waits for slower members, for example on a faster worker. */
    @Test
    void gangIsNotStalledWhileFinishedMembersWaitForSlowerOnes()
    {
        List<Task> members = startGang();
        StallGuard guard = new StallGuard(cellState);
        for (int percent = 1; percent <= 10; percent++)
        {
            gangHeartbeat(members, percent);
            assertThat(guard.check(clock.get()).stops()).isEmpty();
        }
        for (int i = 1; i <= 6; i++)
        {
            gangHeartbeat(members, 10);
        }
        assertThat(guard.check(clock.get()).stops()).hasSize(2);
    }

    /** Reports the first member as finished and the second one at the given percentage. */
    private void gangHeartbeat(List<Task> members, int secondPercent)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        cellState.applyHeartbeat(worker,
                TestJobs.heartbeatReply(List.of(new RunningRun(members.get(0).name(), 1, "", 100, 0),
                        new RunningRun(members.get(1).name(), 1, "", secondPercent, 0)), List.of()),
                0, clock.get());
    }

    @Test
    void finishedGangThatDoesNotEndIsStalled()
    {
        List<Task> members = startGang();
        for (int i = 1; i <= 8; i++)
        {
            gangHeartbeat(members, 100);
        }
        assertThat(new StallGuard(cellState).check(clock.get()).stops()).hasSize(2);
    }

    @Test
    void lateJobWaitsBehindOthers()
    {
        long now = TimeUnit.HOURS.toMillis(1);
        JobRecord late = TestJobs.job(TestJobs.ID, TestJobs.step(1, 1, List.of()));
        JobRecord fresh = new JobRecord("00000000000000bb", TestJobs.QUEUE, late.job(), now);
        cellState.accept(late, 1, null, now);
        cellState.accept(fresh, 2, null, now);
        assertThat(cellState.waitingByUrgency(0).getFirst().id()).isEqualTo(late.id());
        assertThat(cellState.waitingByUrgency(now).getFirst().id()).isEqualTo(fresh.id());
    }
}
