/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;

import org.gaugehollow.worker.CommandResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against tasks that wait for a command whose call does not return, as over a silent
 * connection that takes no more data, while the worker answers heartbeats over another connection.
 */
@Execution(ExecutionMode.CONCURRENT)
class HungCommandsTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long TIMEOUT_MILLIS = 8_000;

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker worker;
    private TestTerm term;

    @BeforeEach
    void beginTerm() throws InterruptedException
    {
        worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box");
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void acceptJob() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)));
    }

    @Test
    void taskRunsAlthoughItsStartHangs() throws InterruptedException
    {
        worker.hangStarts(1);
        acceptJob();
        assertThat(
                TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startedRuns().equals(List.of(TASK + "/2"))))
                .isTrue();
    }

    @Test
    void hungStartIsBlockedBeforeTheNextOneIsSent() throws InterruptedException
    {
        worker.hangStarts(1);
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        assertThat(worker.deliver(worker.hungStart())).isEqualTo(CommandResult.OLD_RUN);
    }

    @Test
    void cancelledRunIsStoppedAlthoughItsStopHangs() throws InterruptedException
    {
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        worker.hangStops(1);
        platform.cancel(TestJobs.ID);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.stoppedTasks().contains(TASK))).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> platform.isCancelledAndFinished(TestJobs.ID)))
                .isTrue();
    }

    /**
     * Guards against a run that stays stopping because its worker answered the stop but still lists it.
     */
    @Test
    void stopIsSentAgainWhileTheWorkerListsTheRun() throws InterruptedException
    {
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        worker.ignoreStops(1);
        platform.cancel(TestJobs.ID);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.stoppedTasks().contains(TASK))).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> platform.isCancelledAndFinished(TestJobs.ID)))
                .isTrue();
    }

    /** Guards against a worker that is not used for the rest of the term. */
    @Test
    void workerIsUsedAgainAfterItsHeartbeatHangs() throws InterruptedException
    {
        worker.hangHeartbeats(1);
        int heartbeats = worker.heartbeatCount();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.heartbeatCount() > heartbeats)).isTrue();
        Thread.sleep(TIMEOUT_MILLIS);
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.heartbeatCount() > heartbeats + 2))
                .isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
    }
}
