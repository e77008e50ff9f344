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

/** What the owner's memory makes of accepted jobs, looks at workers and lost workers. */
class CellStateTest
{
    private static final long UNKNOWN_LEASE = TimeUnit.SECONDS.toNanos(13);

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState ledger = new CellState(clock::get, UNKNOWN_LEASE);
    private final Planner planner = new Planner(ledger, new NoTickets(), new WaitingFirstScore(0.5));
    private TrackedWorker first;
    private TrackedWorker second;

    @BeforeEach
    void listWorkers()
    {
        first = ledger.list(TestJobs.worker("w1", 4_000));
        second = ledger.list(TestJobs.worker("w2", 4_000));
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

    private void started(Planner.Start start)
    {
        start.task().begun(clock.get());
        start.task().settle(clock.get());
    }

    private long later()
    {
        return clock.addAndGet(1_000_000);
    }

    @Test
    void noWorkerIsGivenMoreThanItHolds()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(20, 1_500, List.of())), 1, null, 0);
        plan();
        assertThat(first.used().cpuMillis()).isAtMost(4_000);
        assertThat(second.used().cpuMillis()).isAtMost(4_000);
        assertThat(first.tasks()).hasSize(2);
        assertThat(plan()).isEmpty();
    }

    @Test
    void aStepWaitsUntilAllTasksBeforeItAreDone()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of()),
                TestJobs.step(1, 500, List.of(0))), 1, null, 0);
        List<Planner.Start> starts = plan();
        assertThat(starts).hasSize(2);
        starts.forEach(this::started);
        end(starts.get(0), 1, RunEnd.DONE);
        assertThat(plan()).isEmpty();
        end(starts.get(1), 1, RunEnd.DONE);
        assertThat(plan()).hasSize(1);
    }

    private Effects end(Planner.Start start, long number, RunEnd how)
    {
        Task task = taskOf(start);
        HeartbeatReply answer = TestJobs.answer(List.of(), List.of(TestJobs.ended(number, task, how)));
        return ledger.applyHeartbeat(start.slot(), answer, number - 1, later());
    }

    @Test
    void aJobIsCompletedOnceEveryTaskIsDone()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        started(start);
        Effects effects = end(start, 1, RunEnd.DONE);
        Job job = effects.changed().iterator().next();
        assertThat(job.state()).isEqualTo(JobState.COMPLETED);
        assertThat(job.progress().rounds()).isNull();
    }

    @Test
    void aTaskFailsItsJobOnlyAfterAllItsAttempts()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start one = plan().getFirst();
        started(one);
        Effects afterOne = end(one, 1, RunEnd.FAILED);
        Job job = afterOne.changed().iterator().next();
        assertThat(job.state()).isEqualTo(JobState.RUNNING);
        Planner.Start two = plan().getFirst();
        assertThat(two.run()).isEqualTo(2);
        started(two);
        end(two, two.slot() == one.slot() ? 2 : 1, RunEnd.FAILED);
        assertThat(job.state()).isEqualTo(JobState.FAILED);
        assertThat(plan()).isEmpty();
    }

    @Test
    void anEndListedAgainCountsOnce()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        started(start);
        Task task = taskOf(start);
        HeartbeatReply answer = TestJobs.answer(List.of(), List.of(TestJobs.ended(1, task, RunEnd.FAILED)));
        ledger.applyHeartbeat(start.slot(), answer, 0, later());
        ledger.applyHeartbeat(start.slot(), answer, 0, later());
        assertThat(task.failures()).isEqualTo(1);
    }

    @Test
    void anEndListedAgainIsToBeWrittenUntilItIs()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        started(start);
        Job job = taskOf(start).step().job();
        HeartbeatReply answer = TestJobs.answer(List.of(),
                List.of(TestJobs.ended(1, taskOf(start), RunEnd.DONE)));
        job.beginWrite();
        assertThat(ledger.applyHeartbeat(start.slot(), answer, 0, later()).changed()).containsExactly(job);
        job.endWrite();
        assertThat(ledger.applyHeartbeat(start.slot(), answer, 0, later()).changed()).containsExactly(job);
        job.beginWrite();
        assertThat(ledger.applyHeartbeat(start.slot(), answer, 0, later()).changed()).containsExactly(job);
        job.endWrite();
        assertThat(ledger.applyHeartbeat(start.slot(), answer, 0, later()).changed()).isEmpty();
    }

    @Test
    void aStartWithoutAnAnswerCountsAsRunningUntilItIsSettled()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        ledger.applyHeartbeat(start.slot(), TestJobs.answer(List.of(), List.of()), 0, later());
        assertThat(taskOf(start).occupies()).isTrue();
        assertThat(plan()).isEmpty();
    }

    @Test
    void aStoppedRunThatALaterLookDoesNotShowIsOver()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        taskOf(start).stopping();
        taskOf(start).settle(clock.get());
        long sentBefore = clock.get() - 1;
        ledger.applyHeartbeat(start.slot(), TestJobs.answer(List.of(), List.of()), 0, sentBefore);
        assertThat(taskOf(start).occupies()).isTrue();
        ledger.applyHeartbeat(start.slot(), TestJobs.answer(List.of(), List.of()), 0, later());
        assertThat(taskOf(start).occupies()).isFalse();
        assertThat(plan().getFirst().run()).isEqualTo(2);
    }

    @Test
    void aStopThatIsAnsweredTwiceIsSettledByTheFirstAnswer()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        Task task = taskOf(start);
        task.stopping();
        task.settleStop(start.slot(), 1, clock.get());
        long sent = later();
        task.settleStop(start.slot(), 1, later());
        ledger.applyHeartbeat(start.slot(), TestJobs.answer(List.of(), List.of()), 0, sent);
        assertThat(task.occupies()).isFalse();
    }

    @Test
    void anAnswerToTheStopOfAnEarlierRunDoesNotSettleTheNextOne()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Planner.Start start = plan().getFirst();
        Task task = taskOf(start);
        task.stopping();
        task.settleStop(start.slot(), 1, clock.get());
        assertThat(task.settledNanos()).isEqualTo(clock.get());
        task.release();
        task.order(start.slot(), 2, clock.get());
        task.settleStop(start.slot(), 1, clock.get());
        assertThat(task.settledNanos()).isEqualTo(Task.UNSETTLED);
        ledger.applyHeartbeat(start.slot(), TestJobs.answer(List.of(), List.of()), 0, later());
        assertThat(task.occupies()).isTrue();
    }

    @Test
    void runsThatTheLedgerDoesNotKnowAreStopped()
    {
        HeartbeatReply answer = TestJobs.answer(
                List.of(new HeartbeatReply.RunningRun("00000000000000bb.0.0.0", 3, "", 5, 0)), List.of());
        Effects effects = ledger.applyHeartbeat(first, answer, 0, later());
        assertThat(effects.stops()).hasSize(1);
        assertThat(first.acceptsStarts()).isFalse();
    }

    @Test
    void aNewOwnerKnowsWhatAnEarlierOneStarted()
    {
        JobRecord record = TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of()));
        ledger.accept(record, 1, null, 0);
        List<Planner.Start> starts = plan();
        JobProgress written = starts.getFirst().task().step().job().progress();

        CellState next = new CellState(clock::get, UNKNOWN_LEASE);
        TrackedWorker slot = next.list(TestJobs.worker("w1", 4_000));
        next.accept(record, 1, written, 0);
        Planner nextPlanner = new Planner(next, new NoTickets(), new WaitingFirstScore(0.5));
        slot.setLeaseHeld(true);
        assertThat(nextPlanner.plan(clock.get(), 0).starts()).isEmpty();

        next.applyHeartbeat(slot, TestJobs.answer(List.of(), List.of()), 0, later());
        List<Planner.Start> again = nextPlanner.plan(clock.get(), 0).starts();
        assertThat(again).hasSize(1);
        assertThat(again.getFirst().run()).isEqualTo(2);
    }

    @Test
    void runsOnAWorkerThatCannotBeReachedAreOverOnlyAfterTheLongestLease()
    {
        JobRecord record = TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of()));
        ledger.accept(record, 1, null, 0);
        JobProgress written = plan().getFirst().task().step().job().progress();
        CellState next = new CellState(clock::get, UNKNOWN_LEASE);
        next.accept(record, 1, written, 0);
        clock.addAndGet(UNKNOWN_LEASE - 1);
        assertThat(next.slots().withExpiredLease()).isEmpty();
        clock.addAndGet(2);
        assertThat(next.slots().withExpiredLease()).hasSize(1);
    }

    @Test
    void aGangStartsWholeOrNotAtAll()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.gang(9, 1_000)), 1, null, 0);
        assertThat(plan()).isEmpty();
        ledger.accept(TestJobs.job("00000000000000bb", TestJobs.gang(8, 1_000)), 2, null, 0);
        List<Planner.Start> starts = plan();
        assertThat(starts).hasSize(8);
        starts.forEach(start -> assertThat(start.run()).isEqualTo(1));
    }

    @Test
    void membersOfAGangShareTheNextRun()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.gang(2, 1_000)), 1, null, 0);
        List<Planner.Start> starts = plan();
        starts.forEach(this::started);
        ledger.onWorkerLost(starts.get(0).slot(), WorkerLossCause.LAPSED);
        assertThat(plan()).isEmpty();
        ledger.onWorkerLost(starts.get(1).slot(), WorkerLossCause.LAPSED);
        first.setLeaseHeld(true);
        second.setLeaseHeld(true);
        List<Planner.Start> again = plan();
        assertThat(again).hasSize(2);
        again.forEach(start -> assertThat(start.run()).isEqualTo(2));
    }

    @Test
    void aCancelledJobStopsWhatRunsAndStartsNothing()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(2, 500, List.of())), 1, null, 0);
        plan().forEach(this::started);
        Effects effects = ledger.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        assertThat(effects.stops()).hasSize(2);
        assertThat(plan()).isEmpty();
        assertThat(first.used().cpuMillis() + second.used().cpuMillis()).isEqualTo(1_000);
    }

    /**
     * A job is dropped once a write shows it as over with nothing left to do. A start that its worker
     * refuses after the cancellation leaves nothing to do, but no write followed, so the job and its
     * record were kept for as long as the term went on.
     */
    @Test
    void aCancelledJobIsWrittenAgainOnceItsLastStartIsRefused()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        Task task = taskOf(plan().getFirst());
        ledger.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        Effects effects = new Effects();
        CellState.release(task, effects);
        assertThat(effects.changed()).containsExactly(task.step().job());
    }

    @Test
    void aCancellationThatComesBeforeItsJobHolds()
    {
        ledger.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 500, List.of())), 1, null, 0);
        assertThat(plan()).isEmpty();
    }

    @Test
    void aLongRunningTaskIsStartedAgainHoweverItEnds()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)), 1, null, 0);
        for (int run = 1; run <= 4; run++)
        {
            Planner.Start start = plan().getFirst();
            assertThat(start.run()).isEqualTo(run);
            started(start);
            end(start, run, run % 2 == 0 ? RunEnd.DONE : RunEnd.FAILED);
        }
    }

    /** Such cancellations have no record that would end them; kept for good, they would pile up. */
    @Test
    void theCancellationOfAJobThatNeverCameIsRemovedAfterAWhile()
    {
        ledger.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name()));
        assertThat(ledger.retired().retiredFor(1_000, 10)).isEmpty();
        clock.addAndGet(1_001);
        assertThat(ledger.retired().retiredFor(1_000, 10)).containsExactly(TestJobs.ID);
        ledger.forget(TestJobs.ID);
        assertThat(ledger.retired().retiredFor(1_000, 10)).isEmpty();
    }
}
