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
import org.gaugehollow.job.CrashHistory.Crash;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.RunEnd;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;
import org.junit.jupiter.api.Test;

/** Tests which worker crashes confirm a poison task. */
class CrashGuardTest
{
    private static final int WORKER_CPU = 16_000;
    private static final String TASK = TestJobs.ID + ".0.0.0";

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private CellState cellState = newCellState();
    private Planner planner = newPlanner();
    private int incarnationCount;

    private CellState newCellState()
    {
        return new CellState(clock::get, TimeUnit.SECONDS.toNanos(14));
    }

    private Planner newPlanner()
    {
        return new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    }

    private void advance(long millis)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private Task accept()
    {
        cellState.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        return cellState.findTask(TASK);
    }

    /** Lists a new incarnation of the only worker. */
    private TrackedWorker listIncarnation()
    {
        incarnationCount++;
        TrackedWorker worker = cellState.updateWorker(TestJobs.worker("w" + incarnationCount, WORKER_CPU));
        worker.recordHeartbeat(clock.get());
        return worker;
    }

    private void startAll()
    {
        for (Planner.Start start : planner.plan(clock.get(), 0).starts())
        {
            start.task().markSent(clock.get());
            start.task().onStartAnswered(clock.get());
        }
    }

    private Effects loseWorker(TrackedWorker worker, WorkerLossCause cause)
    {
        worker.clearEntry();
        return cellState.onWorkerLost(worker, cause);
    }

    private void heartbeat(TrackedWorker worker, Task task)
    {
        cellState.applyHeartbeat(worker,
                TestJobs.heartbeatReply(List.of(TestJobs.runningRun(task)), List.of()), 0, clock.get());
    }

    /** Starts the task on the only worker and loses the worker after the given time. */
    private Effects startAndLoseWorker(WorkerLossCause cause, long millis)
    {
        TrackedWorker worker = listIncarnation();
        startAll();
        Task task = cellState.findTask(TASK);
        assertThat(task.worker()).isSameInstanceAs(worker);
        advance(millis);
        if (millis > 0)
        {
            heartbeat(worker, task);
        }
        return loseWorker(worker, cause);
    }

    @Test
    void failsTaskAfterTwoStartCrashesInIsolation()
    {
        Task task = accept();
        startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        Effects effects = startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        assertThat(effects.poisonTasks()).hasSize(1);
        assertThat(effects.poisonTasks().getFirst().crashes().provenWorkers()).containsExactly("w1", "w2");
        assertThat(task.step().job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void failsTaskAfterThreeLaterCrashes()
    {
        Task task = accept();
        startAndLoseWorker(WorkerLossCause.CRASHED, 2_000);
        startAndLoseWorker(WorkerLossCause.CRASHED, 2_000);
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        startAndLoseWorker(WorkerLossCause.CRASHED, 2_000);
        assertThat(task.step().job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void clearsHistoryOfTaskThatRunsLongEnough()
    {
        Task task = accept();
        startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        listIncarnation();
        startAll();
        advance(CrashGuard.CLEAR_AFTER_MILLIS);
        heartbeat(task.worker(), task);
        cellState.failPoisonTasks();
        assertThat(task.crashes().isEmpty()).isTrue();
    }

    @Test
    void ignoresLeavingAndExpiredWorkersThatAreStillListed()
    {
        Task task = accept();
        for (int i = 0; i < 2 * CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            TrackedWorker worker = listIncarnation();
            startAll();
            cellState.onWorkerLost(worker, i % 2 == 0 ? WorkerLossCause.LEFT : WorkerLossCause.LAPSED);
            cellState.failPoisonTasks();
        }
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
    }

    @Test
    void failsTaskAfterEnoughUnresponsiveWorkersAreGone()
    {
        Task task = accept();
        for (int i = 0; i < CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            assertThat(task.step().job().state()).isNotEqualTo(JobState.FAILED);
            startAndLoseWorker(WorkerLossCause.LAPSED, 0);
        }
        assertThat(task.step().job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void ignoresStartThatWasNeverSent()
    {
        Task task = accept();
        TrackedWorker worker = listIncarnation();
        planner.plan(clock.get(), 0);
        loseWorker(worker, WorkerLossCause.CRASHED);
        assertThat(task.crashes().isEmpty()).isTrue();
    }

    private void announceLeaving(TrackedWorker worker)
    {
        cellState.updateWorker(new WorkerEntry(WorkerIncarnation.parse(worker.id()), "service", "127.0.0.1:1",
                "hall", true, 1_000, new ComputeResources(0, WORKER_CPU, 32_768, 0), Set.of(), "r"));
    }

    @Test
    void unlistedDrainingWorkerIsLeaving()
    {
        accept();
        TrackedWorker worker = listIncarnation();
        startAll();
        announceLeaving(worker);
        worker.clearEntry();
        assertThat(worker.isLeaving()).isTrue();
    }

    @Test
    void reportsCrashesAndTheirWithdrawal()
    {
        Task task = accept();
        TrackedWorker worker = listIncarnation();
        startAll();
        Effects recorded = cellState.onWorkerLost(worker, WorkerLossCause.LAPSED);
        assertThat(recorded.recordedCrashes()).containsExactly(new Effects.RecordedCrash(TASK, 1,
                new Crash("w1", Attribution.UNPROVEN), WorkerLossCause.LAPSED.description(), 0));
        listIncarnation();
        startAll();
        advance(CrashGuard.CLEAR_AFTER_MILLIS);
        heartbeat(task.worker(), task);
        Effects withdrawn = cellState.failPoisonTasks();
        assertThat(withdrawn.withdrawnCrashes()).hasSize(1);
        assertThat(withdrawn.recordedCrashes()).isEmpty();
        assertThat(cellState.failPoisonTasks().withdrawnCrashes()).isEmpty();
    }

    /** The crash history is stored with the progress of the job. */
    @Test
    void nextOwnerRestoresCrashHistory()
    {
        Task task = accept();
        startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        JobProgress progress = JobCodec.readProgress(JobCodec.writeProgress(task.step().job().progress()));
        cellState = newCellState();
        planner = newPlanner();
        cellState.accept(task.step().job().record(), 1, progress, 0);
        Effects effects = startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        assertThat(effects.poisonTasks()).hasSize(1);
    }

    @Test
    void startsNothingElseBesideIsolatedSuspect()
    {
        Task suspect = accept();
        startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        TrackedWorker worker = listIncarnation();
        startAll();
        cellState.accept(TestJobs.job("00000000000000bb", TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        assertThat(planner.plan(clock.get(), 0).starts()).isEmpty();
        advance(CrashGuard.STARTUP_MILLIS);
        heartbeat(worker, suspect);
        assertThat(planner.plan(clock.get(), 0).starts()).hasSize(1);
    }

    /** Guards against suspecting a task whose crashes are explained by a confirmed poison task. */
    @Test
    void confirmedPoisonTaskClearsItsNeighbour()
    {
        accept();
        cellState.accept(TestJobs.job("00000000000000bb", TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        Task neighbour = cellState.findTask("00000000000000bb.0.0.0");
        startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        assertThat(neighbour.crashes().count(Attribution.AT_START)).isEqualTo(1);
        TrackedWorker worker = listIncarnation();
        startAll();
        Task isolated = worker.tasks().getFirst();
        Task other = isolated == neighbour ? cellState.findTask(TASK) : neighbour;
        loseWorker(worker, WorkerLossCause.CRASHED);
        assertThat(isolated.step().job().state()).isEqualTo(JobState.FAILED);
        assertThat(other.crashes().count(Attribution.EXPLAINED)).isEqualTo(1);
        assertThat(other.isSuspect()).isFalse();
    }

    /** Cuts off the only worker right after the start, until its lease expires; it remains listed. */
    private TrackedWorker cutOffAtStart()
    {
        TrackedWorker worker = listIncarnation();
        startAll();
        Task task = cellState.findTask(TASK);
        assertThat(task.worker()).isSameInstanceAs(worker);
        worker.recordMissedHeartbeat(clock.get(), false);
        cellState.onWorkerLost(worker, WorkerLossCause.LAPSED);
        assertThat(task.crashes().crashes()).contains(new Crash(worker.id(), Attribution.UNPROVEN));
        return worker;
    }

    /** Lets a worker that was cut off answer and report the end of its run, and then unlists it. */
    private Effects respondAndLeave(TrackedWorker worker, int run)
    {
        Task task = cellState.findTask(TASK);
        Effects effects = cellState.applyHeartbeat(worker,
                TestJobs.heartbeatReply(List.of(), List.of(TestJobs.endedRun(1, task, run, RunEnd.LAPSED))),
                0, clock.get());
        worker.clearEntry();
        cellState.trackedWorkers().removeIfIdle(worker);
        return effects;
    }

    /** Replaces the owner by one that reads the stored progress. */
    private Task changeOwner(Task task)
    {
        JobProgress progress = JobCodec.readProgress(JobCodec.writeProgress(task.step().job().progress()));
        cellState = newCellState();
        planner = newPlanner();
        cellState.accept(task.step().job().record(), 1, progress, 0);
        return cellState.findTask(TASK);
    }

    /** Guards against failing a task for workers that were cut off and answered again. */
    @Test
    void keepsTaskWhoseCutOffWorkersRespondBeforeTheyLeave()
    {
        Task task = accept();
        for (int run = 1; run <= CrashGuard.TOTAL_CRASH_THRESHOLD; run++)
        {
            respondAndLeave(cutOffAtStart(), run);
            cellState.failPoisonTasks();
            assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        }
    }

    /**
     * Guards against failing a task at work, because each next owner takes its run for just started.
     */
    @Test
    void keepsTaskWhoseWorkersAreLostWithTheirOwners()
    {
        Task task = accept();
        for (int i = 0; i < CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            TrackedWorker worker = listIncarnation();
            startAll();
            advance(CrashGuard.CLEAR_AFTER_MILLIS / 2);
            heartbeat(worker, task);
            task = changeOwner(task);
            cellState.onWorkerLost(task.worker(), WorkerLossCause.LAPSED);
            cellState.crashGuard().onWorkersListed();
        }
        cellState.failPoisonTasks();
        assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
    }

    /** Guards against failing a task for workers that were cut off and answered the next owner. */
    @Test
    void nextOwnerKeepsTaskWhoseCutOffWorkersRespond()
    {
        Task task = accept();
        for (int i = 0; i < CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            cutOffAtStart();
        }
        Task restored = changeOwner(task);
        for (int run = 1; run <= CrashGuard.TOTAL_CRASH_THRESHOLD; run++)
        {
            Effects effects = respondAndLeave(cellState.updateWorker(TestJobs.worker("w" + run, WORKER_CPU)),
                    run);
            assertThat(effects.changedJobs()).containsExactly(restored.step().job());
        }
        cellState.failPoisonTasks();
        assertThat(restored.step().job().state()).isEqualTo(JobState.RUNNING);
        assertThat(changeOwner(restored).crashes().isEmpty()).isTrue();
    }

    /** Guards against counting unresponsive workers as gone that the new owner has not read yet. */
    @Test
    void newOwnerCountsNoUnprovenCrashBeforeItHasReadTheWorkers()
    {
        Task task = accept();
        for (int i = 0; i < CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            cutOffAtStart();
        }
        Task restored = changeOwner(task);
        cellState.failPoisonTasks();
        assertThat(restored.step().job().state()).isEqualTo(JobState.RUNNING);
        cellState.crashGuard().onWorkersListed();
        cellState.failPoisonTasks();
        assertThat(restored.step().job().state()).isEqualTo(JobState.FAILED);
    }

    /** Guards against suspecting a task because workers left as announced. */
    @Test
    void keepsTaskWhoseLeavingWorkersExpire()
    {
        Task task = accept();
        for (int i = 0; i < CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            TrackedWorker worker = listIncarnation();
            startAll();
            announceLeaving(worker);
            loseWorker(worker, WorkerLossCause.LAPSED);
            cellState.failPoisonTasks();
            assertThat(task.step().job().state()).isEqualTo(JobState.RUNNING);
        }
    }

    /** Guards against a next owner that restores a history that was cleared. */
    @Test
    void clearedHistoryIsStored()
    {
        Task task = accept();
        startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        listIncarnation();
        startAll();
        advance(CrashGuard.CLEAR_AFTER_MILLIS);
        heartbeat(task.worker(), task);
        assertThat(cellState.failPoisonTasks().changedJobs()).containsExactly(task.step().job());
    }

    /** Guards against a next owner that suspects the neighbours of a task that was failed. */
    @Test
    void explainedCrashIsStored()
    {
        accept();
        cellState.accept(TestJobs.job("00000000000000bb", TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        Task neighbour = cellState.findTask("00000000000000bb.0.0.0");
        startAndLoseWorker(WorkerLossCause.CRASHED, 0);
        TrackedWorker worker = listIncarnation();
        startAll();
        Task isolated = worker.tasks().getFirst();
        Task other = isolated == neighbour ? cellState.findTask(TASK) : neighbour;
        Effects effects = loseWorker(worker, WorkerLossCause.CRASHED);
        assertThat(effects.changedJobs()).contains(other.step().job());
    }

    private void startOn(Task task, TrackedWorker worker, boolean isAnswered)
    {
        task.assign(worker, task.run() + 1, clock.get());
        task.markSent(clock.get());
        if (isAnswered)
        {
            task.onStartAnswered(clock.get());
        }
    }

    /** Guards against failing a good task first for its unproven crashes beside a poison task. */
    @Test
    void failsAttributedPoisonTaskBeforeItsNeighbours()
    {
        Task poison = accept();
        cellState.accept(TestJobs.job("00000000000000bb", TestJobs.step(1, 1_000, List.of())), 1, null, 0);
        Task neighbour = cellState.findTask("00000000000000bb.0.0.0");
        TrackedWorker first = listIncarnation();
        startOn(neighbour, first, false);
        loseWorker(first, WorkerLossCause.CRASHED);
        for (int i = 0; i < CrashGuard.ATTRIBUTED_CRASH_THRESHOLD; i++)
        {
            TrackedWorker worker = listIncarnation();
            startOn(neighbour, worker, false);
            startOn(poison, worker, true);
            loseWorker(worker, WorkerLossCause.CRASHED);
        }
        cellState.failPoisonTasks();
        assertThat(poison.step().job().state()).isEqualTo(JobState.FAILED);
        assertThat(neighbour.step().job().state()).isNotEqualTo(JobState.FAILED);
        assertThat(neighbour.crashes().crashes()).hasSize(1);
    }
}
