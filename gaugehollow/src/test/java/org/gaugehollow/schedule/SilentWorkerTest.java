/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Tests that each state of a run ends although its worker never answers again. */
@Execution(ExecutionMode.CONCURRENT)
class SilentWorkerTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final int ALL = Integer.MAX_VALUE;
    private static final long TIMEOUT_MILLIS = 4_000;
    /** Longer than the lease of a worker and the time that its runs take to end. */
    private static final long LEASE_TIMEOUT_MILLIS = 10_000;

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker silent;
    private TestTerm term;

    @BeforeEach
    void beginTerm() throws InterruptedException
    {
        silent = platform.addWorker("w1");
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

    private void assertRestartsOn(FakeWorker other) throws InterruptedException
    {
        assertThat(TestJobs.waitUntil(LEASE_TIMEOUT_MILLIS,
                () -> other.startedRuns().equals(List.of(TASK + "/2")))).isTrue();
    }

    @Test
    void unansweredStartRestartsElsewhereOnceTheLeaseExpires() throws InterruptedException
    {
        silent.loseStarts(ALL);
        silent.loseStops(ALL);
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> silent.startCount() > 0)).isTrue();
        silent.setUnresponsive(true);
        assertRestartsOn(platform.addWorker("w2"));
    }

    /** The worker receives all calls, so that each of them may extend its lease. */
    @Test
    void runOfWorkerWhoseAnswersAreLostRestartsElsewhereOnceTheLeaseExpires() throws InterruptedException
    {
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> silent.isRunning(TASK))).isTrue();
        silent.loseAnswers(true);
        assertRestartsOn(platform.addWorker("w2"));
    }

    @Test
    void unansweredStopEndsOnceTheLeaseExpires() throws InterruptedException
    {
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> silent.isRunning(TASK))).isTrue();
        silent.setUnresponsive(true);
        silent.loseStops(ALL);
        platform.cancel(TestJobs.ID);
        assertThat(
                TestJobs.waitUntil(LEASE_TIMEOUT_MILLIS, () -> platform.isCancelledAndFinished(TestJobs.ID)))
                .isTrue();
    }

    @Test
    void runOnUnlistedSilentWorkerRestartsElsewhereOnceTheLeaseExpires() throws InterruptedException
    {
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> silent.isRunning(TASK))).isTrue();
        silent.setUnresponsive(true);
        platform.unlist("w1");
        assertRestartsOn(platform.addWorker("w2"));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, silent::isClosed)).isTrue();
    }

    @Test
    void workerThatAnswersAgainAfterItsLeaseIsUsedAgain() throws InterruptedException
    {
        acceptJob();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> silent.isRunning(TASK))).isTrue();
        silent.crash();
        assertThat(TestJobs.waitUntil(LEASE_TIMEOUT_MILLIS, this::isWaiting)).isTrue();
        silent.setUnresponsive(false);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> silent.isRunning(TASK))).isTrue();
    }

    private boolean isWaiting()
    {
        synchronized (term.term().cellState())
        {
            Task task = term.term().cellState().findTask(TASK);
            return task.phase() == Task.Phase.WAITING;
        }
    }
}
