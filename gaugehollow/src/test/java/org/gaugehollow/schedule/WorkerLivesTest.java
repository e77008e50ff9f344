/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.RunEnd;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Which answer of one life of a worker proves that another is over. */
@Execution(ExecutionMode.CONCURRENT)
class WorkerLivesTest
{
    private static final String WORKER = "w1";
    private static final String TASK = TestJobs.ID + ".0.0.0";
    /** Shorter than the lease of a life that does not answer. */
    private static final long SOON_MILLIS = 4_000;
    /** Longer than it takes to read the list of workers twice. */
    private static final long READ_MILLIS = 1_800;
    private static final byte NO_ROOM = 0;

    private final FakePlatform platform = new FakePlatform();
    private final FakeWorker first = new FakeWorker();
    private final FakeWorker second = new FakeWorker();
    private TestTerm term;

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void accept() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
    }

    /** The life before does not answer, so nothing else tells that its runs are over. */
    @Test
    void theFirstAnswerOfALifeEndsTheOneBefore() throws InterruptedException
    {
        platform.addLife(WORKER, (byte) 1, first);
        term = new TestTerm(platform, "box");
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.isRunning(TASK))).isTrue();
        first.setSilent(true);
        platform.addLife(WORKER, (byte) 2, second);
        assertThat(TestJobs.within(SOON_MILLIS, () -> second.isRunning(TASK))).isTrue();
        assertThat(second.begun()).containsExactly(TASK + "/2");
    }

    /** The answer was on its way while the worker ended, started again and was listed. */
    @Test
    void aLateAnswerOfALifeEndsNoLaterOne() throws InterruptedException
    {
        first.holdLookAnswers(true);
        platform.addLife(WORKER, (byte) 1, first);
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.looks() == 1)).isTrue();
        platform.addLife(WORKER, (byte) 2, second);
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> second.isRunning(TASK))).isTrue();
        first.holdLookAnswers(false);
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.looks() > 1)).isTrue();
        Thread.sleep(READ_MILLIS);
        assertThat(second.isClosed()).isFalse();
        assertThat(second.begun()).containsExactly(TASK + "/1");
    }

    /**
     * A start had no answer and its worker started again; the task ended well elsewhere. Carried out by
     * the next life, which has the same id and the same fencing token, it would run once more. That
     * life turns the first order away that bars the run.
     */
    @Test
    void aStartThatArrivesInTheNextLifeDoesNothing() throws InterruptedException
    {
        first.loseStarts(1);
        platform.addLife(WORKER, (byte) 1, first);
        term = new TestTerm(platform, "box");
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.lostStart() != null)).isTrue();
        first.endLife();
        second.turnAwayStops(1);
        FakeWorker other = platform.addWorker("w2");
        platform.addLife(WORKER, (byte) 2, second, NO_ROOM);
        assertThat(TestJobs.within(SOON_MILLIS, () -> other.isRunning(TASK))).isTrue();
        other.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(SOON_MILLIS, () -> second.looks() > 1)).isTrue();
        assertThat(TestJobs.within(SOON_MILLIS, () -> second.stopped().contains(TASK))).isTrue();
        assertThat(second.arrive(first.lostStart())).isEqualTo(CommandResult.OLD_RUN);
        assertThat(second.begun()).isEmpty();
    }

    /**
     * An owner of an earlier version recorded workers by their ids alone. The run may go on in the life
     * that is there now, so nothing else of the task begins before its lease is surely over.
     */
    @Test
    void aRecordThatNamesNoLifeMayMeanTheOneThatAnswers() throws InterruptedException
    {
        JobProgress recorded = new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new JobProgress.RoundProgress(List.of(new JobProgress.StepProgress(
                        List.of(new JobProgress.TaskProgress(1, 0, false, WORKER, null)))))));
        accept();
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(TestJobs.ID), JobCodec.writeProgress(recorded)));
        first.runs(TASK, 1);
        platform.addLife(WORKER, (byte) 1, first);
        FakeWorker other = platform.addWorker("w2");
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.stopped().contains(TASK))).isTrue();
        assertThat(TestJobs.within(SOON_MILLIS, () -> other.isRunning(TASK) || first.isRunning(TASK)))
                .isFalse();
    }
}
