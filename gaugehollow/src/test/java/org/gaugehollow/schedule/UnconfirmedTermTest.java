/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobKeys;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Tests terms that may not send commands for lack of confirmation and are confirmed again before
 * they end, as after a pause of the process.
 */
@Execution(ExecutionMode.CONCURRENT)
class UnconfirmedTermTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long UNCONFIRMED_MILLIS = 3_000;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String WITNESS = "127.0.0.1:2";

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker worker;
    private TestTerm term;

    @BeforeEach
    void beginTerm() throws InterruptedException
    {
        worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box");
        // Its word keeps the leases of the workers for as long as the term may be unconfirmed.
        term.otherBoxes().witnesses().add(WITNESS, true);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> WitnessRecord
                .read(platform.fakeStore().get(JobKeys.WITNESSES)).witnesses().contains(WITNESS))).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.heartbeatCount() > 1)).isTrue();
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void awaitUnconfirmed() throws InterruptedException
    {
        term.stopConfirming();
        long maxUnconfirmedMillis = TimeUnit.NANOSECONDS.toMillis(OwnerLease.MAX_UNCONFIRMED_NANOS);
        assertThat(TestJobs.waitUntil(maxUnconfirmedMillis + TIMEOUT_MILLIS,
                () -> !term.lease().maySendCommands())).isTrue();
    }

    private void acceptJob() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
    }

    private void assertTaskRuns() throws InterruptedException
    {
        boolean isRunning = TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK));
        assertWithMessage("started " + worker.startedRuns() + ", heartbeats " + worker.heartbeatCount())
                .that(isRunning).isTrue();
        assertThat(term.lease().hasEnded()).isFalse();
    }

    /** Guards against heartbeats that stop for the rest of the term after it was unconfirmed. */
    @Test
    void heartbeatsResumeOnceTermIsConfirmed() throws InterruptedException
    {
        awaitUnconfirmed();
        Thread.sleep(UNCONFIRMED_MILLIS);
        int heartbeats = worker.heartbeatCount();
        term.startConfirming();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.heartbeatCount() > heartbeats)).isTrue();
        assertThat(term.lease().hasEnded()).isFalse();
    }

    /**
     * Guards against a task that stays placed without being started, because its start was dropped
     * while the term was unconfirmed.
     */
    @Test
    void jobAcceptedWhileUnconfirmedStartsOnceTermIsConfirmed() throws InterruptedException
    {
        awaitUnconfirmed();
        acceptJob();
        Thread.sleep(UNCONFIRMED_MILLIS);
        assertThat(worker.startCount()).isEqualTo(0);
        term.startConfirming();
        assertTaskRuns();
    }

    /** Guards against a stop that is dropped while the term is unconfirmed and not sent again. */
    @Test
    void runCancelledWhileUnconfirmedIsStoppedOnceTermIsConfirmed() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.bestEffort()));
        assertTaskRuns();
        awaitUnconfirmed();
        platform.cancel(TestJobs.ID);
        Thread.sleep(UNCONFIRMED_MILLIS);
        assertThat(worker.stoppedTasks()).isEmpty();
        term.startConfirming();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.stoppedTasks().contains(TASK))).isTrue();
    }
}
