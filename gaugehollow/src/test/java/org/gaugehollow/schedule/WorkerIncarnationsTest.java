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

/** Tests which reply of one worker incarnation proves that another has ended. */
@Execution(ExecutionMode.CONCURRENT)
class WorkerIncarnationsTest
{
    private static final String WORKER = "w1";
    private static final String TASK = TestJobs.ID + ".0.0.0";
    /** Shorter than the lease of an unresponsive incarnation. */
    private static final long TIMEOUT_MILLIS = 4_000;
    /** Longer than two listings of the workers. */
    private static final long LISTING_MILLIS = 1_800;
    private static final byte NO_CAPACITY = 0;

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

    /**
     * The previous incarnation does not answer, so only the reply of the new one shows that its runs
     * have ended.
     */
    @Test
    void firstReplyOfNewIncarnationEndsThePreviousOne() throws InterruptedException
    {
        platform.addIncarnation(WORKER, (byte) 1, first);
        term = new TestTerm(platform, "box");
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.isRunning(TASK))).isTrue();
        first.setUnresponsive(true);
        platform.addIncarnation(WORKER, (byte) 2, second);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.isRunning(TASK))).isTrue();
        assertThat(second.startedRuns()).containsExactly(TASK + "/2");
    }

    /** The reply is delayed until the next incarnation of the worker is listed. */
    @Test
    void lateReplyOfOldIncarnationDoesNotEndTheNewOne() throws InterruptedException
    {
        first.delayHeartbeatReplies(true);
        platform.addIncarnation(WORKER, (byte) 1, first);
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.heartbeatCount() == 1)).isTrue();
        platform.addIncarnation(WORKER, (byte) 2, second);
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.isRunning(TASK))).isTrue();
        first.delayHeartbeatReplies(false);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.heartbeatCount() > 1)).isTrue();
        Thread.sleep(LISTING_MILLIS);
        assertThat(second.isClosed()).isFalse();
        assertThat(second.startedRuns()).containsExactly(TASK + "/1");
    }

    /**
     * Guards against a second run after the task has ended elsewhere, if an unanswered start is
     * delivered to the next incarnation. That incarnation refuses the first stop.
     */
    @Test
    void rejectsStartThatArrivesAtTheNextIncarnation() throws InterruptedException
    {
        first.loseStarts(1);
        platform.addIncarnation(WORKER, (byte) 1, first);
        term = new TestTerm(platform, "box");
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.lostStart() != null)).isTrue();
        first.endIncarnation();
        second.refuseStops(1);
        FakeWorker other = platform.addWorker("w2");
        platform.addIncarnation(WORKER, (byte) 2, second, NO_CAPACITY);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> other.isRunning(TASK))).isTrue();
        other.endRun(TASK, RunEnd.DONE);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.heartbeatCount() > 1)).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.stoppedTasks().contains(TASK))).isTrue();
        assertThat(second.deliver(first.lostStart())).isEqualTo(CommandResult.OLD_RUN);
        assertThat(second.startedRuns()).isEmpty();
    }

    /**
     * Guards against restarting a task whose record holds only the worker id, as older versions wrote
     * it, while its run may continue in the current incarnation.
     */
    @Test
    void recordWithoutStartTimeMayMeanTheCurrentIncarnation() throws InterruptedException
    {
        JobProgress recorded = new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new JobProgress.RoundProgress(List.of(new JobProgress.StepProgress(
                        List.of(new JobProgress.TaskProgress(1, 0, false, WORKER, null)))))));
        accept();
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(TestJobs.ID), JobCodec.writeProgress(recorded)));
        first.addRun(TASK, 1);
        platform.addIncarnation(WORKER, (byte) 1, first);
        FakeWorker other = platform.addWorker("w2");
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.stoppedTasks().contains(TASK))).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> other.isRunning(TASK) || first.isRunning(TASK)))
                .isFalse();
    }
}
