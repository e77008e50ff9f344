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

/** Leaving workers, runs that stand still, and tasks that disturb others. */
class GuardsTest
{
    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState ledger = new CellState(clock::get, 0);
    private final TrackedWorker slot = ledger.list(TestJobs.worker("w1", 64_000));

    private static StepSpec serving(int count, long target, boolean fills)
    {
        return new StepSpec(count, 100, 100, 0, 800, List.of(), true, false, false, null, null, 0, false,
                !fills, "x", target, fills, 1);
    }

    private static StepSpec checkpointing()
    {
        return new StepSpec(1, 100, 100, 0, 10_000, List.of(), true, false, false, null, null, 0, false,
                false, null, 0, false, 0);
    }

    private Task running(StepSpec step, String id)
    {
        Job job = new Job(TestJobs.job(id, step), 1);
        ledger.accept(job.record(), 1, null, 0);
        Task task = ledger.find(id + ".0.0.0");
        task.order(slot, 1, clock.get());
        task.begun(clock.get());
        task.settle(clock.get());
        return task;
    }

    private void look(Task task, int percent, double gauge)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        ledger.applyHeartbeat(slot,
                TestJobs.answer(List.of(new RunningRun(task.name(), 1, "", percent, gauge)), List.of()), 0,
                clock.get());
    }

    private void drain(long remainingMillis)
    {
        ledger.list(new WorkerEntry(WorkerIncarnation.withUnknownStart("w1"), "service", "127.0.0.1:1",
                "hall", true, remainingMillis, new ComputeResources(0, 64_000, 32_768, 0), Set.of(), "r"));
    }

    @Test
    void aLongRunningTaskLeavesAWorkerThatDrains()
    {
        Task task = running(serving(1, 0, false), TestJobs.ID);
        look(task, 100, 0);
        Evacuation evacuation = new Evacuation(ledger);
        assertThat(evacuation.evacuate(clock.get()).stops()).isEmpty();
        drain(-1);
        assertThat(evacuation.evacuate(clock.get()).stops()).hasSize(1);
    }

    @Test
    void aTaskThatCanEndInTimeStaysOnAWorkerThatDrains()
    {
        Task task = running(checkpointing(), TestJobs.ID);
        look(task, 50, 0);
        Evacuation evacuation = new Evacuation(ledger);
        drain(5_000);
        assertThat(evacuation.evacuate(clock.get()).stops()).isEmpty();
        drain(100);
        assertThat(evacuation.evacuate(clock.get()).stops()).hasSize(1);
    }

    @Test
    void aRunThatStandsStillIsStoppedAndItsWorkerAvoided()
    {
        Task task = running(checkpointing(), TestJobs.ID);
        StallGuard guard = new StallGuard(ledger);
        for (int i = 1; i <= 8; i++)
        {
            look(task, i, 0);
        }
        assertThat(guard.check(clock.get()).stops()).isEmpty();
        for (int i = 1; i <= 6; i++)
        {
            look(task, 8, 0);
        }
        assertThat(guard.check(clock.get()).stops()).hasSize(1);
        assertThat(slot.health().isAvoided(clock.get())).isTrue();
    }

    @Test
    void fillersSlowDownWhenAServingTaskComesNearItsTarget()
    {
        Task serves = running(serving(1, 100, false), TestJobs.ID);
        Task fills = running(serving(1, 0, true), "00000000000000bb");
        serves.observe(100, 50, clock.get());
        assertThat(ThrottleController.adjust(slot, clock.get())).isEmpty();
        serves.observe(100, 90, clock.get());
        assertThat(ThrottleController.adjust(slot, clock.get()).getFirst().percent()).isEqualTo(50);
        serves.observe(100, 120, clock.get());
        assertThat(ThrottleController.adjust(slot, clock.get()).getFirst().percent()).isEqualTo(0);
        serves.observe(100, 30, clock.get());
        assertThat(ThrottleController.adjust(slot, clock.get())).isEmpty();
        clock.addAndGet(TimeUnit.SECONDS.toNanos(3));
        assertThat(ThrottleController.adjust(slot, clock.get()).getFirst().percent()).isEqualTo(25);
        assertThat(fills.speedLimitPercent()).isEqualTo(25);
    }

    @Test
    void aGangIsStoppedWholeWhenOneMemberStandsStill()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.gang(2, 100)), 1, null, 0);
        Step step = ledger.find(TestJobs.ID + ".0.0.0").step();
        for (Task task : step.tasks())
        {
            task.order(slot, 1, clock.get());
            task.begun(clock.get());
        }
        clock.addAndGet(TimeUnit.SECONDS.toNanos(4));
        slot.recordHeartbeat(clock.get());
        assertThat(new StallGuard(ledger).check(clock.get()).stops()).hasSize(2);
    }

    @Test
    void aLateJobWaitsBehindThoseThatAreNot()
    {
        long now = TimeUnit.HOURS.toMillis(1);
        JobRecord late = TestJobs.job(TestJobs.ID, TestJobs.step(1, 1, List.of()));
        JobRecord fresh = new JobRecord("00000000000000bb", TestJobs.QUEUE, late.job(), now);
        ledger.accept(late, 1, null, now);
        ledger.accept(fresh, 2, null, now);
        assertThat(ledger.waitingByUrgency(0).getFirst().id()).isEqualTo(late.id());
        assertThat(ledger.waitingByUrgency(now).getFirst().id()).isEqualTo(fresh.id());
    }
}
