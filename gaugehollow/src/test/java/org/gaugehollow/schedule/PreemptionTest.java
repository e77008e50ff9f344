/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against wrong preemption decisions and against freed capacity going to other tasks. */
class PreemptionTest
{
    private static final String LARGE = "00000000000000bb";
    private static final String SMALL = "00000000000000cc";
    private static final int WHOLE_WORKER = 4_000;
    private static final int HALF_WORKER = 2_000;
    /** Allows a job of one 800 ms step 8.25 s. */
    private static final QueueSpec PATIENT = new QueueSpec("patient", "service", 2, 3, 250, 10, null);
    private static final QueueSpec URGENT = new QueueSpec("urgent", "service", 1, 3, 2_000, 2, null);
    /** Its jobs always miss their objective. */
    private static final QueueSpec TIGHT = new QueueSpec("tight", "service", 1, 3, 0, 0.5, null);

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, TimeUnit.SECONDS.toNanos(13));
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private TrackedWorker worker;
    private long wallMillis;

    @BeforeEach
    void listWorker()
    {
        worker = cellState.updateWorker(TestJobs.worker("w1", WHOLE_WORKER));
        worker.setLeaseHeld(true);
    }

    private static StepSpec step(int count, int cpu, boolean checkpointing)
    {
        return new StepSpec(count, cpu, 100, 0, 800, List.of(), checkpointing, false, false, null, null, 0,
                false, false, null, 0, false, 0);
    }

    private void accept(String id, QueueSpec queue, long revision, StepSpec step)
    {
        cellState.accept(new JobRecord(id, queue, new JobSpec("text", List.of(step), 0, 0, 0), wallMillis),
                revision, null, wallMillis);
    }

    private Planner.Plan plan()
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
        wallMillis += 50;
        Planner.Plan plan = planner.plan(clock.get(), wallMillis);
        plan.starts().forEach(start -> start.task().markRunning(clock.get()));
        return plan;
    }

    private static List<Effects.Stop> stops(Planner.Plan plan)
    {
        return plan.preemptions().stream().flatMap(preemption -> preemption.effects().stops().stream())
                .toList();
    }

    private void end(Effects.Stop stop, long number)
    {
        cellState.applyHeartbeat(worker,
                TestJobs.heartbeatReply(List.of(),
                        List.of(TestJobs.endedRun(number, stop.task(), RunEnd.STOPPED))),
                number - 1, clock.get());
    }

    @Test
    void checkpointingRunsArePreemptedForMoreUrgentTask()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, true));
        assertThat(plan().starts()).hasSize(2);
        accept(LARGE, URGENT, 2, step(1, WHOLE_WORKER, true));
        List<Effects.Stop> stops = stops(plan());
        assertThat(stops).hasSize(2);
        assertThat(stops(plan())).isEmpty();
        end(stops.get(0), 1);
        end(stops.get(1), 2);
        List<Planner.Start> starts = plan().starts();
        assertThat(starts).hasSize(1);
        assertThat(starts.getFirst().task().step().job().id()).isEqualTo(LARGE);
    }

    @Test
    void partiallyFreedCapacityStaysReserved()
    {
        accept(SMALL, PATIENT, 1, step(3, HALF_WORKER, true));
        plan();
        accept(LARGE, URGENT, 2, step(1, WHOLE_WORKER, true));
        List<Effects.Stop> stops = stops(plan());
        end(stops.getFirst(), 1);
        assertThat(plan().starts()).isEmpty();
    }

    @Test
    void runsWithoutCheckpointAreNotStoppedWhenMuchWorkWouldBeLost()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, false));
        plan();
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(400));
        accept(LARGE, URGENT, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).isEmpty();
    }

    @Test
    void recentlyStartedRunsWithoutCheckpointAreStopped()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, false));
        plan();
        accept(LARGE, URGENT, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).hasSize(2);
    }

    @Test
    void noRunIsStoppedForTaskOfSameQueue()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, true));
        plan();
        accept(LARGE, PATIENT, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).isEmpty();
    }

    @Test
    void jobThatWouldBecomeLateIsNotPreempted()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, true));
        plan();
        wallMillis += 6_500;
        accept(LARGE, URGENT, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).isEmpty();
    }

    /** Guards against capacity that late jobs keep while jobs that can be in time wait. */
    @Test
    void jobThatIsLateAnywayIsPreempted()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, true));
        plan();
        wallMillis += 12_000;
        accept(LARGE, URGENT, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).hasSize(2);
    }

    @Test
    void lateJobThatWouldBecomeTooLateIsNotPreempted()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, true));
        plan();
        wallMillis += 35_500;
        accept(LARGE, URGENT, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).isEmpty();
    }

    @Test
    void noRunIsStoppedForJobThatWillMissItsObjective()
    {
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, true));
        plan();
        accept(LARGE, TIGHT, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).isEmpty();
    }

    @Test
    void jobsThatCanMeetTheirObjectiveStartFirst()
    {
        accept(LARGE, URGENT, 1, step(1, WHOLE_WORKER, true));
        worker.setLeaseHeld(false);
        plan();
        wallMillis += 4_000;
        accept(SMALL, URGENT, 2, step(1, WHOLE_WORKER, true));
        worker.setLeaseHeld(true);
        List<Planner.Start> starts = plan().starts();
        assertThat(starts).hasSize(1);
        assertThat(starts.getFirst().task().step().job().id()).isEqualTo(SMALL);
    }

    /** Lists a second worker that is full, with a run that began 400 ms after the one on the first. */
    private void fillTwoWorkers()
    {
        accept(SMALL, PATIENT, 1, step(1, WHOLE_WORKER, true));
        assertThat(plan().starts()).hasSize(1);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(350));
        cellState.updateWorker(TestJobs.worker("w2", WHOLE_WORKER)).setLeaseHeld(true);
        accept("00000000000000dd", PATIENT, 2, step(1, WHOLE_WORKER, true));
        assertThat(plan().starts()).hasSize(1);
    }

    /** Guards against work thrown away for tasks that find capacity as soon without a stop. */
    @Test
    void noRunIsStoppedIfEnoughCapacityBecomesFreeSooner()
    {
        fillTwoWorkers();
        accept(LARGE, URGENT, 3, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).isEmpty();
    }

    /** Guards against capacity that becomes free once and is counted for several tasks. */
    @Test
    void capacityThatBecomesFreeSoonCountsForOneTaskOnly()
    {
        fillTwoWorkers();
        accept(LARGE, URGENT, 3, step(2, WHOLE_WORKER, true));
        assertThat(stops(plan())).hasSize(1);
    }

    /** Guards against runs stopped for a task that is too late once the stop is over. */
    @Test
    void noRunIsStoppedForJobThatCannotBeInTimeAfterTheStop()
    {
        QueueSpec nearlyMissed = new QueueSpec("nearly", "service", 1, 3, 0, 1, null);
        accept(SMALL, PATIENT, 1, step(2, HALF_WORKER, true));
        plan();
        accept(LARGE, nearlyMissed, 2, step(1, WHOLE_WORKER, true));
        assertThat(stops(plan())).isEmpty();
    }
}
