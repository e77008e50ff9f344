/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against delaying tasks that allow duplicate runs until the lease of an unresponsive worker
 * expires.
 */
class UnresponsiveWorkerGuardTest
{
    private static final StepSpec SPECULATIVE = new StepSpec(1, 4_000, 100, 0, 800, List.of(), false, false,
            false, null, null, 0, true, false, null, 0, false, 0);
    private static final long UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, TimeUnit.SECONDS.toNanos(13));
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private final UnresponsiveWorkerGuard guard = new UnresponsiveWorkerGuard(cellState);

    @BeforeEach
    void listWorkers()
    {
        cellState.updateWorker(TestJobs.worker("w1", 4_000)).setLeaseHeld(true);
        cellState.updateWorker(TestJobs.worker("w2", 4_000)).setLeaseHeld(true);
    }

    private Planner.Start startOf(StepSpec step)
    {
        cellState.accept(TestJobs.job(TestJobs.ID, step), 1, null, 0);
        Planner.Start start = plan().getFirst();
        start.task().markRunning(clock.get());
        start.task().settle(clock.get());
        return start;
    }

    private List<Planner.Start> plan()
    {
        return planner.plan(clock.get(), 0).starts();
    }

    private List<UnresponsiveWorkerGuard.AbandonedRun> becomeUnresponsive(TrackedWorker worker)
    {
        worker.recordMissedHeartbeat(clock.get(), false);
        assertThat(guard.check(clock.get(), new Effects())).isEmpty();
        return guard.check(clock.addAndGet(UNRESPONSIVE_NANOS), new Effects());
    }

    private Effects endRun(TrackedWorker worker, Task task, int run, RunEnd outcome)
    {
        HeartbeatReply reply = TestJobs.heartbeatReply(List.of(),
                List.of(TestJobs.endedRun(1, task, run, outcome)));
        return cellState.applyHeartbeat(worker, reply, 0, clock.addAndGet(1_000_000));
    }

    @Test
    void startsDuplicateRunElsewhere()
    {
        Planner.Start start = startOf(SPECULATIVE);
        assertThat(becomeUnresponsive(start.worker())).hasSize(1);
        Planner.Start duplicate = plan().getFirst();
        assertThat(duplicate.worker()).isNotSameInstanceAs(start.worker());
        assertThat(duplicate.run()).isEqualTo(2);
    }

    @Test
    void keepsRunOfNonSpeculativeTask()
    {
        Planner.Start start = startOf(TestJobs.step(1, 4_000, List.of()));
        assertThat(becomeUnresponsive(start.worker())).isEmpty();
        assertThat(plan()).isEmpty();
    }

    @Test
    void keepsUnansweredStart()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, SPECULATIVE), 1, null, 0);
        Planner.Start start = plan().getFirst();
        assertThat(becomeUnresponsive(start.worker())).isEmpty();
        assertThat(start.task().isOnWorker()).isTrue();
    }

    @Test
    void heartbeatResetsUnresponsiveTime()
    {
        Planner.Start start = startOf(SPECULATIVE);
        start.worker().recordMissedHeartbeat(clock.get(), false);
        start.worker().recordHeartbeat(clock.addAndGet(UNRESPONSIVE_NANOS / 2));
        assertThat(guard.check(clock.addAndGet(UNRESPONSIVE_NANOS), new Effects())).isEmpty();
    }

    @Test
    void firstSuccessfulRunStopsTheDuplicate()
    {
        Planner.Start start = startOf(SPECULATIVE);
        becomeUnresponsive(start.worker());
        Planner.Start duplicate = plan().getFirst();
        Task task = duplicate.task();
        task.markRunning(clock.get());
        task.settle(clock.get());
        Effects effects = endRun(start.worker(), task, 1, RunEnd.DONE);
        assertThat(effects.stops()).hasSize(1);
        assertThat(task.progress().done()).isTrue();
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        endRun(duplicate.worker(), task, 2, RunEnd.STOPPED);
        assertThat(task.step().job().state()).isEqualTo(JobState.COMPLETED);
        assertThat(plan()).isEmpty();
    }

    @Test
    void abandonedRunThatSucceedsCompletesTheJob()
    {
        Planner.Start start = startOf(SPECULATIVE);
        Task task = start.task();
        becomeUnresponsive(start.worker());
        endRun(start.worker(), task, 1, RunEnd.DONE);
        assertThat(task.step().job().state()).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void countsFailureOfAbandonedRunOnce()
    {
        Planner.Start start = startOf(SPECULATIVE);
        Task task = start.task();
        becomeUnresponsive(start.worker());
        endRun(start.worker(), task, 1, RunEnd.FAILED);
        endRun(start.worker(), task, 1, RunEnd.FAILED);
        assertThat(task.failures()).isEqualTo(1);
    }

    /** Guards against a start beyond the allowed attempts, because the next owner missed a failure. */
    @Test
    void nextOwnerCountsFailureOfAbandonedRun()
    {
        Planner.Start start = startOf(SPECULATIVE);
        becomeUnresponsive(start.worker());
        assertThat(plan()).hasSize(1);
        CellState next = new CellState(clock::get, TimeUnit.SECONDS.toNanos(13));
        TrackedWorker first = next.updateWorker(start.worker().entry());
        TrackedWorker second = next.updateWorker(start.task().worker().entry());
        next.accept(start.task().step().job().record(), 1,
                JobCodec.readProgress(JobCodec.writeProgress(start.task().step().job().progress())), 0);
        Task task = next.findTask(start.task().name());
        next.applyHeartbeat(first,
                TestJobs.heartbeatReply(List.of(), List.of(TestJobs.endedRun(1, task, 1, RunEnd.FAILED))), 0,
                clock.addAndGet(1_000_000));
        assertThat(task.failures()).isEqualTo(1);
        next.applyHeartbeat(second,
                TestJobs.heartbeatReply(List.of(), List.of(TestJobs.endedRun(1, task, 2, RunEnd.FAILED))), 0,
                clock.addAndGet(1_000_000));
        assertThat(task.step().job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void abandonedRunOfLostWorkerIsNotRecorded()
    {
        Planner.Start start = startOf(SPECULATIVE);
        becomeUnresponsive(start.worker());
        assertThat(start.task().progress().copy().worker()).isEqualTo(start.worker().id());
        cellState.onWorkerLost(start.worker(), WorkerLossCause.LAPSED);
        assertThat(start.task().progress().copy()).isNull();
    }

    @Test
    void stopsAbandonedRunBeforeItsWorkerAcceptsStarts()
    {
        Planner.Start start = startOf(SPECULATIVE);
        becomeUnresponsive(start.worker());
        plan();
        HeartbeatReply reply = TestJobs.heartbeatReply(List.of(TestJobs.runningRun(start.task(), 1)),
                List.of());
        Effects effects = cellState.applyHeartbeat(start.worker(), reply, 0, clock.addAndGet(1_000_000));
        assertThat(effects.stops()).hasSize(1);
        assertThat(start.worker().acceptsStarts()).isFalse();
    }
}
