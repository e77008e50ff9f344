/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Tests how long a new owner waits for a worker that was lost just before the previous owner. */
@Execution(ExecutionMode.CONCURRENT)
class EndedOwnerTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final String OWNER = "bole-1";
    private static final long TIMEOUT_MILLIS = 4_000;
    /** Time after its last run within which a lasting task has to run again. */
    private static final long MAX_AWAY_MILLIS = 9_000;
    /** Duration of a term after which nothing is left of the terms before it. */
    private static final long TERM_MILLIS = 10_000;
    /** Time for which no box runs. */
    private static final long DOWNTIME_MILLIS = 4_000;

    private final EventLog events = new EventLog("bole-2", new HybridClock(System::currentTimeMillis));
    private final FakePlatform platform = new FakePlatform();
    private final FakeOwnerProbe probe = new FakeOwnerProbe(OWNER, "bole-3", "bole-4");
    private final FakeOtherBoxes otherBoxes = new FakeOtherBoxes();
    private final Supervisor supervisor = new Supervisor("test", events);
    private TestTerm term;

    @AfterEach
    void stop()
    {
        term.close();
        supervisor.close();
    }

    private void startElection()
    {
        OwnerMonitor monitor = new OwnerMonitor(probe, () -> true, owner -> false, SteadyClock::nanos);
        TestElections.start("bole-2", platform, TestTerm.CONFIG, monitor, otherBoxes, supervisor, events);
    }

    private void killOwner()
    {
        term.close();
        probe.setDead(OWNER);
        probe.setOwnerUnresponsive("bole-3", true);
        probe.setOwnerUnresponsive("bole-4", true);
    }

    /** Guards against lasting tasks that stand still, because an owner that has ended is waited for. */
    @Test
    void tasksOfLostWorkerRestartOnceLeasesOfEndedOwnerExpire() throws InterruptedException
    {
        FakeWorker lost = platform.addWorker("w1");
        term = new TestTerm(platform, OWNER);
        probe.setOwner(OWNER, 100);
        startElection();
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> lost.isRunning(TASK))).isTrue();
        Thread.sleep(TERM_MILLIS);
        FakeWorker other = platform.addWorker("w2");
        lost.setUnresponsive(true);
        platform.unlist("w1");
        killOwner();
        otherBoxes.end(OWNER);
        assertThat(TestJobs.waitUntil(MAX_AWAY_MILLIS, () -> other.isRunning(TASK))).isTrue();
    }

    /** Guards against tasks that stand still for as long again as all boxes were down. */
    @Test
    void recordedLeasesOfEndedOwnerCountFromItsEnd() throws InterruptedException
    {
        FakeWorker lost = platform.addWorker("w1");
        term = new TestTerm(platform, OWNER);
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> lost.isRunning(TASK))).isTrue();
        FakeWorker other = platform.addWorker("w2");
        lost.setUnresponsive(true);
        platform.unlist("w1");
        long lostNanos = SteadyClock.nanos();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS,
                () -> platform.fakeStore().get(JobKeys.EXPIRING_LEASES).isPresent())).isTrue();
        term.close();
        otherBoxes.end(OWNER);
        platform.store().commit(new StoreTransaction().delete(JobKeys.OWNER));
        Thread.sleep(DOWNTIME_MILLIS);
        startElection();
        long awayMillis = TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - lostNanos);
        assertThat(TestJobs.waitUntil(MAX_AWAY_MILLIS - awayMillis, () -> other.isRunning(TASK))).isTrue();
    }
}
