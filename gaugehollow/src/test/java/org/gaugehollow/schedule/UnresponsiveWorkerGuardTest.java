/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.JobState;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tasks of which copies may run side by side do not wait for a silent worker's lease. */
class UnresponsiveWorkerGuardTest
{
    private static final StepSpec SPECULATIVE = new StepSpec(1, 4_000, 100, 0, 800, List.of(), false, false,
            false, null, null, 0, true, false, null, 0, false, 0);
    private static final long SILENCE = TimeUnit.MILLISECONDS.toNanos(450);

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState ledger = new CellState(clock::get, TimeUnit.SECONDS.toNanos(13));
    private final Planner planner = new Planner(ledger, new NoTickets(), new WaitingFirstScore(0.5));
    private final UnresponsiveWorkerGuard guard = new UnresponsiveWorkerGuard(ledger);

    @BeforeEach
    void listWorkers()
    {
        ledger.list(TestJobs.worker("w1", 4_000)).setLeaseHeld(true);
        ledger.list(TestJobs.worker("w2", 4_000)).setLeaseHeld(true);
    }

    private Planner.Start startOf(StepSpec step)
    {
        ledger.accept(TestJobs.job(TestJobs.ID, step), 1, null, 0);
        Planner.Start start = plan().getFirst();
        start.task().begun(clock.get());
        start.task().settle(clock.get());
        return start;
    }

    private List<Planner.Start> plan()
    {
        return planner.plan(clock.get(), 0).starts();
    }

    private List<UnresponsiveWorkerGuard.AbandonedRun> fallSilent(TrackedWorker slot)
    {
        slot.recordMissedHeartbeat(clock.get(), false);
        assertThat(guard.check(clock.get())).isEmpty();
        return guard.check(clock.addAndGet(SILENCE));
    }

    private Effects end(TrackedWorker slot, Task task, int run, RunEnd how)
    {
        HeartbeatReply answer = TestJobs.answer(List.of(), List.of(TestJobs.ended(1, task, run, how)));
        return ledger.applyHeartbeat(slot, answer, 0, clock.addAndGet(1_000_000));
    }

    @Test
    void aCopyIsStartedElsewhere()
    {
        Planner.Start start = startOf(SPECULATIVE);
        assertThat(fallSilent(start.slot())).hasSize(1);
        Planner.Start copy = plan().getFirst();
        assertThat(copy.slot()).isNotSameInstanceAs(start.slot());
        assertThat(copy.run()).isEqualTo(2);
    }

    @Test
    void aTaskThatMustNotHaveCopiesWaits()
    {
        Planner.Start start = startOf(TestJobs.step(1, 4_000, List.of()));
        assertThat(fallSilent(start.slot())).isEmpty();
        assertThat(plan()).isEmpty();
    }

    @Test
    void aStartThatMayStillArriveIsNotLeft()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, SPECULATIVE), 1, null, 0);
        Planner.Start start = plan().getFirst();
        assertThat(fallSilent(start.slot())).isEmpty();
        assertThat(start.task().occupies()).isTrue();
    }

    @Test
    void aWorkerThatAnswersInBetweenIsNotSilent()
    {
        Planner.Start start = startOf(SPECULATIVE);
        start.slot().recordMissedHeartbeat(clock.get(), false);
        start.slot().recordHeartbeat(clock.addAndGet(SILENCE / 2));
        assertThat(guard.check(clock.addAndGet(SILENCE))).isEmpty();
    }

    @Test
    void theFirstCopyToEndWellCountsAndTheOtherIsStopped()
    {
        Planner.Start start = startOf(SPECULATIVE);
        fallSilent(start.slot());
        Planner.Start copy = plan().getFirst();
        Task task = copy.task();
        task.begun(clock.get());
        task.settle(clock.get());
        Effects effects = end(start.slot(), task, 1, RunEnd.DONE);
        assertThat(effects.stops()).hasSize(1);
        assertThat(task.progress().done()).isTrue();
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        end(copy.slot(), task, 2, RunEnd.STOPPED);
        assertThat(task.step().job().state()).isEqualTo(JobState.COMPLETED);
        assertThat(plan()).isEmpty();
    }

    @Test
    void aCopyThatEndsWellWhileNothingElseRunsCompletesTheJob()
    {
        Planner.Start start = startOf(SPECULATIVE);
        Task task = start.task();
        fallSilent(start.slot());
        end(start.slot(), task, 1, RunEnd.DONE);
        assertThat(task.step().job().state()).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void failuresOfCopiesCountOnce()
    {
        Planner.Start start = startOf(SPECULATIVE);
        Task task = start.task();
        fallSilent(start.slot());
        end(start.slot(), task, 1, RunEnd.FAILED);
        end(start.slot(), task, 1, RunEnd.FAILED);
        assertThat(task.failures()).isEqualTo(1);
    }

    @Test
    void aCopyThatIsFoundAgainIsStoppedBeforeItsWorkerGetsMore()
    {
        Planner.Start start = startOf(SPECULATIVE);
        fallSilent(start.slot());
        plan();
        HeartbeatReply answer = TestJobs.answer(List.of(TestJobs.running(start.task(), 1)), List.of());
        Effects effects = ledger.applyHeartbeat(start.slot(), answer, 0, clock.addAndGet(1_000_000));
        assertThat(effects.stops()).hasSize(1);
        assertThat(start.slot().acceptsStarts()).isFalse();
    }
}
