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

import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;
import org.junit.jupiter.api.Test;

/** What counts towards giving a task up, and what does not. */
class CrashGuardTest
{
    private static final int WORKER_CPU = 16_000;
    private static final String TASK = TestJobs.ID + ".0.0.0";

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private CellState ledger = newLedger();
    private Planner planner = newPlanner();
    private int lives;

    private CellState newLedger()
    {
        return new CellState(clock::get, TimeUnit.SECONDS.toNanos(14));
    }

    private Planner newPlanner()
    {
        return new Planner(ledger, new NoTickets(), new WaitingFirstScore(0.5));
    }

    private void advance(long millis)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private Task accept()
    {
        ledger.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        return ledger.find(TASK);
    }

    /** Another life of the only worker is listed. */
    private TrackedWorker list()
    {
        lives++;
        TrackedWorker slot = ledger.list(TestJobs.worker("w" + lives, WORKER_CPU));
        slot.recordHeartbeat(clock.get());
        return slot;
    }

    private void startAll()
    {
        for (Planner.Start start : planner.plan(clock.get(), 0).starts())
        {
            start.task().sent();
            start.task().startAnswered(clock.get());
        }
    }

    private Effects end(TrackedWorker slot, WorkerLossCause how)
    {
        slot.unlisted();
        return ledger.onWorkerLost(slot, how);
    }

    private void look(TrackedWorker slot, Task task)
    {
        ledger.applyHeartbeat(slot, TestJobs.answer(List.of(TestJobs.running(task)), List.of()), 0,
                clock.get());
    }

    /** The only worker gets the task, and its life ends in some way after a while. */
    private Effects startAndEnd(WorkerLossCause how, long millis)
    {
        TrackedWorker slot = list();
        startAll();
        Task task = ledger.find(TASK);
        assertThat(task.worker()).isSameInstanceAs(slot);
        advance(millis);
        if (millis > 0)
        {
            look(slot, task);
        }
        return end(slot, how);
    }

    @Test
    void twoCrashesRightAfterTheStartAreEnoughWhereNothingElseHadJustBegun()
    {
        Task task = accept();
        startAndEnd(WorkerLossCause.CRASHED, 0);
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        Effects effects = startAndEnd(WorkerLossCause.CRASHED, 0);
        assertThat(effects.givenUp()).hasSize(1);
        assertThat(effects.givenUp().getFirst().crashes().proven()).containsExactly("w1", "w2");
        assertThat(task.step().job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void crashesThatComeLaterCountThreeTimes()
    {
        Task task = accept();
        startAndEnd(WorkerLossCause.CRASHED, 2_000);
        startAndEnd(WorkerLossCause.CRASHED, 2_000);
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        startAndEnd(WorkerLossCause.CRASHED, 2_000);
        assertThat(task.step().job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void aTaskThatOutlivedAllSuspicionIsClearedOfIt()
    {
        Task task = accept();
        startAndEnd(WorkerLossCause.CRASHED, 0);
        list();
        startAll();
        advance(CrashGuard.CLEARED_MILLIS);
        look(task.worker(), task);
        ledger.failPoisonTasks();
        assertThat(task.crashes().isEmpty()).isTrue();
    }

    @Test
    void aWorkerThatLeavesOrLapsesWhileItIsListedCountsForNothing()
    {
        Task task = accept();
        for (int i = 0; i < 2 * CrashGuard.MOST_IN_ALL; i++)
        {
            TrackedWorker slot = list();
            startAll();
            ledger.onWorkerLost(slot, i % 2 == 0 ? WorkerLossCause.LEFT : WorkerLossCause.LAPSED);
            ledger.failPoisonTasks();
        }
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
    }

    @Test
    void workersThatFellSilentAndAreGoneCountInTheEnd()
    {
        Task task = accept();
        for (int i = 0; i < CrashGuard.MOST_IN_ALL; i++)
        {
            assertThat(task.step().job().state()).isNotEqualTo(JobState.FAILED);
            startAndEnd(WorkerLossCause.LAPSED, 0);
        }
        assertThat(task.step().job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void aStartThatWasNeverSentCountsForNothing()
    {
        Task task = accept();
        TrackedWorker slot = list();
        planner.plan(clock.get(), 0);
        end(slot, WorkerLossCause.CRASHED);
        assertThat(task.crashes().isEmpty()).isTrue();
    }

    @Test
    void aWorkerThatHadSaidThatItLeavesHasNotCrashed()
    {
        accept();
        TrackedWorker slot = list();
        startAll();
        ledger.list(new WorkerEntry(WorkerIncarnation.parse(slot.id()), "service", "127.0.0.1:1", "hall",
                true, 1_000, new ComputeResources(0, WORKER_CPU, 32_768, 0), Set.of(), "r"));
        slot.unlisted();
        assertThat(slot.isLeaving()).isTrue();
    }

    /** What one owner has learnt lies in the store, and the next one gives the task up. */
    @Test
    void theNextOwnerKnowsOfTheCrashesBefore()
    {
        Task task = accept();
        startAndEnd(WorkerLossCause.CRASHED, 0);
        JobProgress progress = JobCodec.readProgress(JobCodec.writeProgress(task.step().job().progress()));
        ledger = newLedger();
        planner = newPlanner();
        ledger.accept(task.step().job().record(), 1, progress, 0);
        Effects effects = startAndEnd(WorkerLossCause.CRASHED, 0);
        assertThat(effects.givenUp()).hasSize(1);
    }

    @Test
    void nothingElseBeginsWhereASuspectIsOnTrial()
    {
        Task suspect = accept();
        startAndEnd(WorkerLossCause.CRASHED, 0);
        TrackedWorker slot = list();
        startAll();
        ledger.accept(TestJobs.job("00000000000000bb", TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        assertThat(planner.plan(clock.get(), 0).starts()).isEmpty();
        advance(CrashGuard.TRIAL_MILLIS);
        look(slot, suspect);
        assertThat(planner.plan(clock.get(), 0).starts()).hasSize(1);
    }

    /** A bystander's crash is explained once the task that did it is given up. */
    @Test
    void theCrashOfAGuiltyTaskCountsNoMoreForItsNeighbour()
    {
        accept();
        ledger.accept(TestJobs.job("00000000000000bb", TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        Task neighbour = ledger.find("00000000000000bb.0.0.0");
        startAndEnd(WorkerLossCause.CRASHED, 0);
        assertThat(neighbour.crashes().count(Attribution.AT_START)).isEqualTo(1);
        TrackedWorker slot = list();
        startAll();
        Task tried = slot.tasks().getFirst();
        Task other = tried == neighbour ? ledger.find(TASK) : neighbour;
        end(slot, WorkerLossCause.CRASHED);
        assertThat(tried.step().job().state()).isEqualTo(JobState.FAILED);
        assertThat(other.crashes().count(Attribution.EXPLAINED)).isEqualTo(1);
        assertThat(other.isSuspect()).isFalse();
    }

    private void startBy(Task task, TrackedWorker slot, boolean isAnswered)
    {
        task.order(slot, task.run() + 1, clock.get());
        task.sent();
        if (isAnswered)
        {
            task.startAnswered(clock.get());
        }
    }

    /**
     * A good task was placed beside a harmful one three times and its starts got no answer, since the
     * worker had crashed before they came. Both were to be given up at the same moment, the good one
     * first, with four crashes that were not proven, and its job was shown as failed.
     *
     * <pre>
     * 54691 E525 TASK_GIVEN_UP 2e.0.0.1 crashed [w1 UNPROVEN, w3-3 UNPROVEN, w3-3 UNPROVEN, w2-3 UNPROVEN]
     * 54692 E525 TASK_GIVEN_UP 2f.0.0.0 crashed [w3-3 AT_START, w3-3 AT_START, w2-3 AT_START]
     * </pre>
     */
    @Test
    void theTaskThatSurelyDidItIsGivenUpBeforeItsNeighboursAreJudged()
    {
        Task harmful = accept();
        ledger.accept(TestJobs.job("00000000000000bb", TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        Task neighbour = ledger.find("00000000000000bb.0.0.0");
        TrackedWorker first = list();
        startBy(neighbour, first, false);
        end(first, WorkerLossCause.CRASHED);
        for (int i = 0; i < CrashGuard.MOST_CRASHES; i++)
        {
            TrackedWorker slot = list();
            startBy(neighbour, slot, false);
            startBy(harmful, slot, true);
            end(slot, WorkerLossCause.CRASHED);
        }
        ledger.failPoisonTasks();
        assertThat(harmful.step().job().state()).isEqualTo(JobState.FAILED);
        assertThat(neighbour.step().job().state()).isNotEqualTo(JobState.FAILED);
        assertThat(neighbour.crashes().crashes()).hasSize(1);
    }
}
