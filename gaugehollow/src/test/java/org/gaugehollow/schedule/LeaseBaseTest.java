/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against leases that last longer than the next owner waits, because an owner renews them
 * although nobody has confirmed its term.
 */
@Execution(ExecutionMode.CONCURRENT)
class LeaseBaseTest
{
    private static final String WITNESS = "127.0.0.1:2";
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long UNCONFIRMED_MILLIS = 3_000;
    /** Longer than the interval of confirmations and heartbeats. */
    private static final long TOLERANCE_MILLIS = 1_500;

    private final FakePlatform platform = new FakePlatform();
    private TestTerm term;

    @AfterEach
    void stop()
    {
        term.close();
    }

    private FakeWorker startTask() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box");
        term.otherBoxes().witnesses().add(WITNESS, true);
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> WitnessRecord
                .read(platform.fakeStore().get(JobKeys.WITNESSES)).witnesses().contains(WITNESS))).isTrue();
        return worker;
    }

    private static long leaseMillis(FakeWorker worker)
    {
        return worker.newestDeadline() - worker.clockMillis();
    }

    @Test
    void leaseIsNotExtendedWithoutConfirmation() throws InterruptedException
    {
        FakeWorker worker = startTask();
        term.otherBoxes().witnesses().setSilent(WITNESS, true);
        term.stopConfirming();
        Thread.sleep(UNCONFIRMED_MILLIS);
        assertThat(term.lease().maySendCommands()).isTrue();
        assertThat(leaseMillis(worker))
                .isAtMost(WorkerSession.LEASE_MILLIS - UNCONFIRMED_MILLIS + TOLERANCE_MILLIS);
        term.startConfirming();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS,
                () -> leaseMillis(worker) > WorkerSession.LEASE_MILLIS - TOLERANCE_MILLIS)).isTrue();
    }

    @Test
    void leaseIsExtendedByTheWordOfAWitness() throws InterruptedException
    {
        FakeWorker worker = startTask();
        term.stopConfirming();
        Thread.sleep(UNCONFIRMED_MILLIS);
        assertThat(SteadyClock.nanos() - term.lease().leaseBaseNanos())
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(TOLERANCE_MILLIS));
        assertThat(leaseMillis(worker)).isAtLeast(WorkerSession.LEASE_MILLIS - 2 * TOLERANCE_MILLIS);
    }
}
