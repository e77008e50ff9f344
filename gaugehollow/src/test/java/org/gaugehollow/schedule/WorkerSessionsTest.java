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
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Tests invalid worker entries and unreadable job progress. */
@Execution(ExecutionMode.CONCURRENT)
class WorkerSessionsTest
{
    private static final String FIRST_JOB = "00000000000000a1";
    private static final String SECOND_JOB = "00000000000000a2";
    private static final String FIRST_TASK = FIRST_JOB + ".0.0.0";
    private static final String SECOND_TASK = SECOND_JOB + ".0.0.0";
    private static final long TIMEOUT_MILLIS = 4_000;
    /** Longer than two listings of the workers. */
    private static final long LISTING_MILLIS = 1_800;

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker worker;
    private TestTerm term;

    @BeforeEach
    void begin() throws InterruptedException
    {
        worker = platform.addWorker("w1");
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void accept(String id) throws InterruptedException
    {
        platform.accept(TestJobs.job(id, TestJobs.step(1, 1_000, List.of())));
    }

    @Test
    void workerWithInvalidEntryKeepsItsRunsAndGetsNoStarts() throws InterruptedException
    {
        term = new TestTerm(platform, "box");
        accept(FIRST_JOB);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(FIRST_TASK))).isTrue();
        platform.writeInvalidEntry("w1");
        Thread.sleep(LISTING_MILLIS);
        accept(SECOND_JOB);
        assertThat(TestJobs.waitUntil(LISTING_MILLIS, () -> worker.isRunning(SECOND_TASK))).isFalse();
        worker.endRun(FIRST_TASK, RunEnd.DONE);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.unacknowledgedEndCount() == 0)).isTrue();
        platform.list("w1");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(SECOND_TASK))).isTrue();
    }

    @Test
    void invalidEntryDoesNotAffectOtherWorkers() throws InterruptedException
    {
        platform.writeInvalidEntry("w0");
        term = new TestTerm(platform, "box");
        accept(FIRST_JOB);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(FIRST_TASK))).isTrue();
    }

    /** The runs of such a job are unknown, so none of it is started; other jobs continue. */
    @Test
    void doesNotStartJobWithUnreadableProgress() throws InterruptedException
    {
        accept(FIRST_JOB);
        accept(SECOND_JOB);
        platform.store().commit(new StoreTransaction().put(JobKeys.progress(FIRST_JOB), new byte[]{'{'}));
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(SECOND_TASK))).isTrue();
        assertThat(worker.isRunning(FIRST_TASK)).isFalse();
    }

    /** Guards against progress of another shape that keeps all jobs from being read. */
    @Test
    void progressThatDoesNotFitItsJobDoesNotAffectOtherJobs() throws InterruptedException
    {
        accept(FIRST_JOB);
        accept(SECOND_JOB);
        JobProgress progress = new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new RoundProgress(List.of())));
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(FIRST_JOB), JobCodec.writeProgress(progress)));
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(SECOND_TASK))).isTrue();
        assertThat(worker.isRunning(FIRST_TASK)).isFalse();
    }
}
