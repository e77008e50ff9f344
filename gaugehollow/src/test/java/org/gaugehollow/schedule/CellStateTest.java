/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.Cancellation;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how the cell state applies accepted jobs, heartbeat replies and lost workers. */
class CellStateTest
{
    private static final long UNKNOWN_LEASE = TimeUnit.SECONDS.toNanos(13);

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, UNKNOWN_LEASE);
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private TrackedWorker first;
    private TrackedWorker second;

    @BeforeEach
    void listWorkers()
    {
        first = cellState.updateWorker(TestJobs.worker("w1", 4_000));
        second = cellState.updateWorker(TestJobs.worker("w2", 4_000));
        first.setLeaseHeld(true);
        second.setLeaseHeld(true);
    }

    private List<Planner.Start> plan()
    {
        return planner.plan(clock.get(), 0).starts();
    }

    private static Task taskOf(Planner.Start start)
    {
        return start.task();
    }

    private void markStarted(Planner.Start start)
    {
        start.task().markRunning(clock.get());
        start.task().settle(clock.get());
    }

    private long advanceClock()
    {
        return clock.addAndGet(1_000_000);
    }

    @Test
    void tasksAreNotPlacedBeyondWorkerCapacity()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(20, 1_500, List.of())), 1, null, 0);
        plan();
        assertThat(first.used().cpuMillis()).isAtMost(4_000);
        assertThat(second.used().cpuMillis()).isAtMost(4_000);
        assertThat(first.tasks()).hasSize(2);
        assertThat(plan()).isEmpty();
    }

    @Test
    void stepWaitsForAllTasksOfItsDependencies()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of()),
                TestJobs.step(1, 500, List.of(0))), 1, null, 0);
        List<Planner.Start> starts = plan();
        assertThat(starts).hasSize(2);
        starts.forEach(this::markStarted);
        endRun(starts.get(0), 1, RunEnd.DONE);
        assertThat(plan()).isEmpty();
        endRun(starts.get(1), 1, RunEnd.DONE);
        assertThat(plan()).hasSize(1);
    }

    private Effects endRun(Planner.Start start, long number, RunEnd runEnd)
    {
        Task task = taskOf(start);
        HeartbeatReply reply = TestJobs.heartbeatReply(List.of(),
                List.of(TestJobs.endedRun(number, task, runEnd)));
        return cellState.applyHeartbeat(start.worker(), reply, number - 1, advanceClock());
    }

    @Test
    void jobCompletesOnceEveryTaskIsDone()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        markStarted(start);
        Effects effects = endRun(start, 1, RunEnd.DONE);
        Job job = effects.changedJobs().iterator().next();
        assertThat(job.state()).isEqualTo(JobState.COMPLETED);
        assertThat(job.progress().rounds()).isNull();
    }

    @Test
    void taskFailsItsJobOnlyAfterAllAttempts()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start firstStart = plan().getFirst();
        markStarted(firstStart);
        Effects effects = endRun(firstStart, 1, RunEnd.FAILED);
        Job job = effects.changedJobs().iterator().next();
        assertThat(job.state()).isEqualTo(JobState.RUNNING);
        Planner.Start secondStart = plan().getFirst();
        assertThat(secondStart.run()).isEqualTo(2);
        markStarted(secondStart);
        endRun(secondStart, secondStart.worker() == firstStart.worker() ? 2 : 1, RunEnd.FAILED);
        assertThat(job.state()).isEqualTo(JobState.FAILED);
        assertThat(plan()).isEmpty();
    }

    @Test
    void repeatedRunEndCountsOnce()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        markStarted(start);
        Task task = taskOf(start);
        HeartbeatReply reply = TestJobs.heartbeatReply(List.of(),
                List.of(TestJobs.endedRun(1, task, RunEnd.FAILED)));
        cellState.applyHeartbeat(start.worker(), reply, 0, advanceClock());
        cellState.applyHeartbeat(start.worker(), reply, 0, advanceClock());
        assertThat(task.failures()).isEqualTo(1);
    }

    @Test
    void repeatedRunEndStaysMarkedAsChangedUntilWritten()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        markStarted(start);
        Job job = taskOf(start).step().job();
        HeartbeatReply reply = TestJobs.heartbeatReply(List.of(),
                List.of(TestJobs.endedRun(1, taskOf(start), RunEnd.DONE)));
        job.beginWrite();
        assertThat(cellState.applyHeartbeat(start.worker(), reply, 0, advanceClock()).changedJobs())
                .containsExactly(job);
        job.endWrite();
        assertThat(cellState.applyHeartbeat(start.worker(), reply, 0, advanceClock()).changedJobs())
                .containsExactly(job);
        job.beginWrite();
        assertThat(cellState.applyHeartbeat(start.worker(), reply, 0, advanceClock()).changedJobs())
                .containsExactly(job);
        job.endWrite();
        assertThat(cellState.applyHeartbeat(start.worker(), reply, 0, advanceClock()).changedJobs())
                .isEmpty();
    }

    @Test
    void unansweredStartCountsAsRunningUntilSettled()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        cellState.applyHeartbeat(start.worker(), TestJobs.heartbeatReply(List.of(), List.of()), 0,
                advanceClock());
        assertThat(taskOf(start).isOnWorker()).isTrue();
        assertThat(plan()).isEmpty();
    }

    @Test
    void stoppedRunMissingFromLaterHeartbeatIsReleased()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        taskOf(start).markStopping();
        taskOf(start).settle(clock.get());
        long sentNanos = clock.get() - 1;
        cellState.applyHeartbeat(start.worker(), TestJobs.heartbeatReply(List.of(), List.of()), 0, sentNanos);
        assertThat(taskOf(start).isOnWorker()).isTrue();
        cellState.applyHeartbeat(start.worker(), TestJobs.heartbeatReply(List.of(), List.of()), 0,
                advanceClock());
        assertThat(taskOf(start).isOnWorker()).isFalse();
        assertThat(plan().getFirst().run()).isEqualTo(2);
    }

    @Test
    void firstAnswerSettlesStop()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        Task task = taskOf(start);
        task.markStopping();
        task.onStopAnswered(start.worker(), 1, clock.get());
        long sent = advanceClock();
        task.onStopAnswered(start.worker(), 1, advanceClock());
        cellState.applyHeartbeat(start.worker(), TestJobs.heartbeatReply(List.of(), List.of()), 0, sent);
        assertThat(task.isOnWorker()).isFalse();
    }

    @Test
    void stopAnswerOfEarlierRunDoesNotSettleNextRun()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        Task task = taskOf(start);
        task.markStopping();
        task.onStopAnswered(start.worker(), 1, clock.get());
        assertThat(task.settledNanos()).isEqualTo(clock.get());
        task.release();
        task.assign(start.worker(), 2, clock.get());
        task.onStopAnswered(start.worker(), 1, clock.get());
        assertThat(task.settledNanos()).isEqualTo(Task.UNSETTLED);
        cellState.applyHeartbeat(start.worker(), TestJobs.heartbeatReply(List.of(), List.of()), 0,
                advanceClock());
        assertThat(task.isOnWorker()).isTrue();
    }

    @Test
    void orphanRunsAreStopped()
    {
        HeartbeatReply reply = TestJobs.heartbeatReply(
                List.of(new HeartbeatReply.RunningRun("00000000000000bb.0.0.0", 3, "", 5, 0)), List.of());
        Effects effects = cellState.applyHeartbeat(first, reply, 0, advanceClock());
        assertThat(effects.stops()).hasSize(1);
        assertThat(first.acceptsStarts()).isFalse();
    }

    @Test
    void newOwnerRestoresRunsOfEarlierOwner()
    {
        JobRecord record = TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of()));
        cellState.accept(record, 1, null, 0);
        List<Planner.Start> starts = plan();
        JobProgress written = starts.getFirst().task().step().job().progress();

        CellState nextState = new CellState(clock::get, UNKNOWN_LEASE);
        TrackedWorker worker = nextState.updateWorker(TestJobs.worker("w1", 4_000));
        nextState.accept(record, 1, written, 0);
        Planner nextPlanner = new Planner(nextState, new NoTickets(), new WaitingFirstScore(0.5));
        worker.setLeaseHeld(true);
        assertThat(nextPlanner.plan(clock.get(), 0).starts()).isEmpty();

        nextState.applyHeartbeat(worker, TestJobs.heartbeatReply(List.of(), List.of()), 0, advanceClock());
        List<Planner.Start> nextStarts = nextPlanner.plan(clock.get(), 0).starts();
        assertThat(nextStarts).hasSize(1);
        assertThat(nextStarts.getFirst().run()).isEqualTo(2);
    }

    @Test
    void runsOnUnreachableWorkerExpireOnlyAfterLongestLease()
    {
        JobRecord record = TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of()));
        cellState.accept(record, 1, null, 0);
        JobProgress written = plan().getFirst().task().step().job().progress();
        CellState nextState = new CellState(clock::get, UNKNOWN_LEASE);
        nextState.accept(record, 1, written, 0);
        clock.addAndGet(UNKNOWN_LEASE - 1);
        assertThat(nextState.trackedWorkers().withExpiredLease()).isEmpty();
        clock.addAndGet(2);
        assertThat(nextState.trackedWorkers().withExpiredLease()).hasSize(1);
    }

    @Test
    void gangStartsAsAWholeOrNotAtAll()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.gang(9, 1_000)), 1, null, 0);
        assertThat(plan()).isEmpty();
        cellState.accept(TestJobs.job("00000000000000bb", TestJobs.gang(8, 1_000)), 2, null, 0);
        List<Planner.Start> starts = plan();
        assertThat(starts).hasSize(8);
        starts.forEach(start -> assertThat(start.run()).isEqualTo(1));
    }

    @Test
    void gangMembersShareNextRunNumber()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.gang(2, 1_000)), 1, null, 0);
        List<Planner.Start> starts = plan();
        starts.forEach(this::markStarted);
        cellState.onWorkerLost(starts.get(0).worker(), WorkerLossCause.LAPSED);
        assertThat(plan()).isEmpty();
        cellState.onWorkerLost(starts.get(1).worker(), WorkerLossCause.LAPSED);
        first.setLeaseHeld(true);
        second.setLeaseHeld(true);
        List<Planner.Start> nextStarts = plan();
        assertThat(nextStarts).hasSize(2);
        nextStarts.forEach(start -> assertThat(start.run()).isEqualTo(2));
    }

    @Test
    void cancelledJobStopsItsRunsAndStartsNothing()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of())), 1, null, 0);
        plan().forEach(this::markStarted);
        Effects effects = cellState.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        assertThat(effects.stops()).hasSize(2);
        assertThat(plan()).isEmpty();
        assertThat(first.used().cpuMillis() + second.used().cpuMillis()).isEqualTo(1_000);
    }

    /**
     * Guards against a cancelled job that is kept for the rest of the term because no write follows the
     * refusal of its last start.
     */
    @Test
    void cancelledJobIsWrittenAgainOnceLastStartIsRefused()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Task task = taskOf(plan().getFirst());
        cellState.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        Effects effects = new Effects();
        CellState.release(task, effects);
        assertThat(effects.changedJobs()).containsExactly(task.step().job());
    }

    @Test
    void cancellationBeforeJobRecordTakesEffect()
    {
        cellState.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        assertThat(plan()).isEmpty();
    }

    @Test
    void longRunningTaskRestartsAfterAnyEnd()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)), 1, null, 0);
        for (int run = 1; run <= 4; run++)
        {
            Planner.Start start = plan().getFirst();
            assertThat(start.run()).isEqualTo(run);
            markStarted(start);
            endRun(start, run, run % 2 == 0 ? RunEnd.DONE : RunEnd.FAILED);
        }
    }

    /**
     * Guards against an unbounded number of cancellations of unknown jobs, which have no record that
     * would remove them.
     */
    @Test
    void cancellationOfUnknownJobIsRetiredAfterRetentionTime()
    {
        cellState.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        assertThat(cellState.retired().findRetiredFor(1_000, 10)).isEmpty();
        clock.addAndGet(1_001);
        assertThat(cellState.retired().findRetiredFor(1_000, 10)).containsExactly(TestJobs.ID);
        cellState.onRecordRemoved(TestJobs.ID);
        assertThat(cellState.retired().findRetiredFor(1_000, 10)).isEmpty();
    }
}
