/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.platform.StoreTransaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against best-effort tasks that stand still under a speed limit that the owner does not
 * know.
 */
@Execution(ExecutionMode.CONCURRENT)
class SpeedLimitDeliveryTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final FakePlatform platform = new FakePlatform();
    private TestTerm term;

    @AfterEach
    void stop()
    {
        if (term != null)
        {
            term.close();
        }
    }

    /** Accepts a job whose task an earlier owner started on the worker. */
    private void acceptRunningJob(FakeWorker worker) throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.bestEffort()));
        TaskProgress task = new TaskProgress(1, 0, false, "w1", null);
        JobProgress progress = new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new RoundProgress(List.of(new StepProgress(List.of(task))))));
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(TestJobs.ID), JobCodec.writeProgress(progress)));
        worker.addRun(TASK, 1);
    }

    /** Guards against a run that an earlier owner has throttled and that nobody speeds up again. */
    @Test
    void newOwnerSendsTheSpeedLimitOfRestoredRun() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptRunningJob(worker);
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(3_000, () -> worker.speedLimits().equals(List.of(100)))).isTrue();
        assertThat(TestJobs.waitUntil(2_500, () -> worker.speedLimits().size() > 1)).isFalse();
    }

    /** Guards against a limit that is given up after three lost commands. */
    @Test
    void speedLimitIsSentUntilItIsAnswered() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.loseThrottles(5);
        acceptRunningJob(worker);
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(6_000, () -> worker.speedLimits().contains(100))).isTrue();
    }

    @Test
    void startedRunNeedsNoSpeedLimit() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.bestEffort()));
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(3_000, () -> worker.isRunning(TASK))).isTrue();
        assertThat(TestJobs.waitUntil(2_000, () -> !worker.speedLimits().isEmpty())).isFalse();
    }

    /**
     * Guards against a limit that an earlier, unanswered command replaces when it is carried out late.
     */
    @Test
    void speedLimitIsRepeatedWhileAnUnansweredOneMayArrive()
    {
        SpeedLimitDelivery delivery = new SpeedLimitDelivery();
        delivery.markUnknown();
        delivery.onSent(0);
        delivery.onUnanswered(0);
        long answered = 2 * SECOND_NANOS;
        delivery.onSent(answered);
        delivery.onAnswered();
        assertThat(delivery.isDue(answered)).isFalse();
        assertThat(delivery.isDue(answered + SECOND_NANOS)).isTrue();
        long last = UnansweredStarts.MAX_DELIVERY_DELAY_NANOS;
        delivery.onSent(last);
        delivery.onAnswered();
        assertThat(delivery.isDue(last + SECOND_NANOS)).isFalse();
    }
}
