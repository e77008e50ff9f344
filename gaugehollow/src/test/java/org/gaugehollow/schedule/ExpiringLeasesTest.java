/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Tests the stored record of expiring leases around a change of owner. */
@Execution(ExecutionMode.CONCURRENT)
class ExpiringLeasesTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long TIMEOUT_MILLIS = 4_000;
    /** Number of unanswered heartbeats that takes longer than the time until a worker is recorded. */
    private static final int HEARTBEATS_WHILE_UNRESPONSIVE = 3;
    /** Time in which a job is placed. */
    private static final long PLACEMENT_MILLIS = 700;
    /** Upper limit of the time until an unresponsive worker is recorded. */
    private static final long MAX_RECORD_MILLIS = 10_000;
    /** Upper limit of that time from the second unanswered heartbeat. */
    private static final long MAX_RECORD_DELAY_MILLIS = 700;
    /**
     * Lower limit of the time that an owner waits for an unreachable worker without a recorded lease.
     */
    private static final long MIN_UNKNOWN_LEASE_MILLIS = 11_000;

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker first;
    private TestTerm term;

    @BeforeEach
    void beginTerm() throws InterruptedException
    {
        first = platform.addWorker("w1");
        term = new TestTerm(platform, "box-1");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.isRunning(TASK))).isTrue();
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private String storedRecord()
    {
        return platform.fakeStore().get(JobKeys.EXPIRING_LEASES).map(StoredValue::value)
                .map(value -> new String(value, StandardCharsets.UTF_8)).orElse("");
    }

    private boolean isRecorded(String worker)
    {
        return storedRecord().contains('"' + worker + '"');
    }

    private void changeOwner(String box) throws InterruptedException
    {
        term.close();
        term = new TestTerm(platform, box);
    }

    /**
     * Guards against waiting for the maximum lease time after a change of owner, although the lease of
     * a lost worker expires earlier.
     */
    @Test
    void runsOfWorkerLostBeforeTermRestartOnceRecordedLeaseExpires() throws InterruptedException
    {
        first.setUnresponsive(true);
        assertThat(TestJobs.waitUntil(MAX_RECORD_MILLIS, () -> isRecorded("w1"))).isTrue();
        platform.unlist("w1");
        FakeWorker second = platform.addWorker("w2");
        long remainingLeaseMillis = first.newestDeadline() - first.clockMillis();
        changeOwner("box-2");
        assertThat(TestJobs.waitUntil(remainingLeaseMillis - 100, () -> second.isRunning(TASK))).isFalse();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.isRunning(TASK))).isTrue();
        assertThat(second.startedRuns()).isEqualTo(List.of(TASK + "/2"));
    }

    /**
     * Guards against waiting for the maximum lease time for a worker that is lost shortly before its
     * owner.
     */
    @Test
    void workerIsRecordedSoonAfterItsFirstMissedHeartbeat() throws InterruptedException
    {
        first.setUnresponsive(true);
        int heartbeats = first.heartbeatCount();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.heartbeatCount() > heartbeats + 1))
                .isTrue();
        assertThat(TestJobs.waitUntil(MAX_RECORD_DELAY_MILLIS, () -> isRecorded("w1"))).isTrue();
    }

    /** Guards against trusting a record although the term in between may have renewed the leases. */
    @Test
    void recordFromTwoTermsAgoIsIgnored() throws InterruptedException
    {
        first.setUnresponsive(true);
        assertThat(TestJobs.waitUntil(MAX_RECORD_MILLIS, () -> isRecorded("w1"))).isTrue();
        term.close();
        byte[] other = "box-of-another-version".getBytes(StandardCharsets.UTF_8);
        platform.store().commit(new StoreTransaction().put(JobKeys.OWNER, other).put(JobKeys.JOURNAL, other));
        FakeWorker second = platform.addWorker("w2");
        term = new TestTerm(platform, "box-2");
        assertThat(TestJobs.waitUntil(MIN_UNKNOWN_LEASE_MILLIS, () -> second.isRunning(TASK))).isFalse();
    }

    /** Guards against renewing a lease that the next owner still takes to be expiring. */
    @Test
    void leaseOfRecoveredWorkerIsRenewedOnlyAfterItsRecordIsRemoved() throws InterruptedException
    {
        first.setUnresponsive(true);
        assertThat(TestJobs.waitUntil(MAX_RECORD_MILLIS, () -> isRecorded("w1"))).isTrue();
        platform.fakeStore().loseWritesTo(JobKeys.EXPIRING_LEASES);
        long deadline = first.newestDeadline();
        first.setUnresponsive(false);
        assertThat(TestJobs.waitUntil(2_000, () -> first.newestDeadline() > deadline)).isFalse();
        assertThat(isRecorded("w1")).isTrue();
        platform.fakeStore().loseWritesTo(null);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.newestDeadline() > deadline)).isTrue();
        assertThat(isRecorded("w1")).isFalse();
        assertThat(first.isRunning(TASK)).isTrue();
        assertThat(first.startedRuns()).isEqualTo(List.of(TASK + "/1"));
    }

    /**
     * Guards against ending the runs of a recorded worker that answers the next owner, and against
     * leaving it in the record.
     */
    @Test
    void recordedWorkerThatAnswersNextOwnerKeepsItsRuns() throws InterruptedException
    {
        first.setUnresponsive(true);
        assertThat(TestJobs.waitUntil(MAX_RECORD_MILLIS, () -> isRecorded("w1"))).isTrue();
        long deadline = first.newestDeadline();
        term.close();
        first.setUnresponsive(false);
        term = new TestTerm(platform, "box-2");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.newestDeadline() > deadline)).isTrue();
        assertThat(isRecorded("w1")).isFalse();
        assertThat(first.startedRuns()).isEqualTo(List.of(TASK + "/1"));
    }

    /** Guards against letting a lease expire because of a single lost connection. */
    @Test
    void workerThatMissesOneHeartbeatIsNotRecorded() throws InterruptedException
    {
        first.setUnresponsive(true);
        int heartbeats = first.heartbeatCount();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.heartbeatCount() > heartbeats)).isTrue();
        first.setUnresponsive(false);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> isRecorded("w1"))).isFalse();
    }

    /**
     * Guards against a start on a worker whose lease is no longer renewed, if the worker was recorded
     * after the decision and before the placement was written.
     */
    @Test
    void decidedStartIsDroppedIfWorkerIsRecordedMeanwhile() throws InterruptedException
    {
        platform.fakeStore().loseWritesTo(JobKeys.PROGRESS);
        String other = "00000000000000bb";
        platform.accept(TestJobs.job(other, TestJobs.step(1, 1_000, List.of())));
        Thread.sleep(PLACEMENT_MILLIS);
        first.setUnresponsive(true);
        assertThat(TestJobs.waitUntil(MAX_RECORD_MILLIS, () -> isRecorded("w1"))).isTrue();
        int starts = first.startCount();
        platform.fakeStore().loseWritesTo(null);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.startCount() > starts)).isFalse();
        FakeWorker second = platform.addWorker("w2");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.isRunning(other + ".0.0.0"))).isTrue();
    }

    /**
     * Guards against ignoring a worker whose record has an unknown outcome because it recovered while
     * the store accepted no writes.
     */
    @Test
    void workerThatRecoversBeforeItsRecordIsWrittenIsUsedAgain() throws InterruptedException
    {
        platform.fakeStore().loseWritesTo(JobKeys.EXPIRING_LEASES);
        first.setUnresponsive(true);
        int heartbeats = first.heartbeatCount();
        assertThat(TestJobs.waitUntil(MAX_RECORD_MILLIS,
                () -> first.heartbeatCount() > heartbeats + HEARTBEATS_WHILE_UNRESPONSIVE)).isTrue();
        first.setUnresponsive(false);
        Thread.sleep(PLACEMENT_MILLIS);
        long deadline = first.newestDeadline();
        platform.fakeStore().loseWritesTo(null);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.newestDeadline() > deadline)).isTrue();
        assertThat(isRecorded("w1")).isFalse();
    }
}
