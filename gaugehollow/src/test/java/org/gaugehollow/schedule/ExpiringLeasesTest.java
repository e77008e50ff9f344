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

/** Workers that are lost before a change of owner, or answer again around one. */
@Execution(ExecutionMode.CONCURRENT)
class ExpiringLeasesTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long SOON_MILLIS = 4_000;
    /** So many looks without an answer take longer than it takes until a worker is recorded. */
    private static final int LOOKS_WHILE_SILENT = 3;
    /** Long enough for a job to be placed. */
    private static final long PLANNED_MILLIS = 700;
    /** A worker is recorded 1 s after the first look that got no answer, which takes up to 1.1 s. */
    private static final long RECORDED_MILLIS = 10_000;
    /** How long a worker is waited for of which nothing is recorded, and some seconds less. */
    private static final long UNKNOWN_MILLIS = 11_000;

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker first;
    private TestTerm term;

    @BeforeEach
    void begin() throws InterruptedException
    {
        first = platform.addWorker("w1");
        term = new TestTerm(platform, "box-1");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)));
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.isRunning(TASK))).isTrue();
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private String recorded()
    {
        return platform.fakeStore().get(JobKeys.EXPIRING_LEASES).map(StoredValue::value)
                .map(value -> new String(value, StandardCharsets.UTF_8)).orElse("");
    }

    private boolean isRecorded(String worker)
    {
        return recorded().contains('"' + worker + '"');
    }

    private void changeOwner(String box) throws InterruptedException
    {
        term.close();
        term = new TestTerm(platform, box);
    }

    /**
     * A worker was lost, and its owner was replaced before it could write that the lease had lapsed, as
     * in an outage of the store. The next owner waited 14.6 s for the runs of a worker that had been
     * gone for 10 s, and the long-running task began again 26 s after its loss.
     */
    @Test
    void aWorkerThatWasLostBeforeTheTermIsWaitedForUntilItsLeaseIsOver() throws InterruptedException
    {
        first.setSilent(true);
        assertThat(TestJobs.within(RECORDED_MILLIS, () -> isRecorded("w1"))).isTrue();
        platform.unlist("w1");
        FakeWorker second = platform.addWorker("w2");
        long leaseLeftMillis = first.newestDeadline() - first.clockMillis();
        changeOwner("box-2");
        assertThat(TestJobs.within(leaseLeftMillis - 100, () -> second.isRunning(TASK))).isFalse();
        assertThat(TestJobs.within(SOON_MILLIS, () -> second.isRunning(TASK))).isTrue();
        assertThat(second.begun()).isEqualTo(List.of(TASK + "/2"));
    }

    /** The record of an owner two terms ago says nothing: the one between may have renewed leases. */
    @Test
    void theRecordOfAnOwnerTwoTermsAgoIsNotTakenOver() throws InterruptedException
    {
        first.setSilent(true);
        assertThat(TestJobs.within(RECORDED_MILLIS, () -> isRecorded("w1"))).isTrue();
        term.close();
        byte[] other = "box-of-another-version".getBytes(StandardCharsets.UTF_8);
        platform.store().commit(new StoreTransaction().put(JobKeys.OWNER, other).put(JobKeys.JOURNAL, other));
        FakeWorker second = platform.addWorker("w2");
        term = new TestTerm(platform, "box-2");
        assertThat(TestJobs.within(UNKNOWN_MILLIS, () -> second.isRunning(TASK))).isFalse();
    }

    /**
     * As long as the store has a worker recorded, the next owner counts on its lease not being renewed.
     */
    @Test
    void theLeaseOfAWorkerThatIsBackIsRenewedOnlyOnceTheStoreHasItNoLongerRecorded()
            throws InterruptedException
    {
        first.setSilent(true);
        assertThat(TestJobs.within(RECORDED_MILLIS, () -> isRecorded("w1"))).isTrue();
        platform.fakeStore().loseWritesOf(JobKeys.EXPIRING_LEASES);
        long deadline = first.newestDeadline();
        first.setSilent(false);
        assertThat(TestJobs.within(2_000, () -> first.newestDeadline() > deadline)).isFalse();
        assertThat(isRecorded("w1")).isTrue();
        platform.fakeStore().loseWritesOf(null);
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.newestDeadline() > deadline)).isTrue();
        assertThat(isRecorded("w1")).isFalse();
        assertThat(first.isRunning(TASK)).isTrue();
        assertThat(first.begun()).isEqualTo(List.of(TASK + "/1"));
    }

    /** A worker that answers the next owner keeps its runs, and is not recorded for a later one. */
    @Test
    void aRecordedWorkerThatAnswersTheNextOwnerKeepsItsRuns() throws InterruptedException
    {
        first.setSilent(true);
        assertThat(TestJobs.within(RECORDED_MILLIS, () -> isRecorded("w1"))).isTrue();
        long deadline = first.newestDeadline();
        term.close();
        first.setSilent(false);
        term = new TestTerm(platform, "box-2");
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.newestDeadline() > deadline)).isTrue();
        assertThat(isRecorded("w1")).isFalse();
        assertThat(first.begun()).isEqualTo(List.of(TASK + "/1"));
    }

    /** A single lost connection is no reason to leave a lease to lapse. */
    @Test
    void aWorkerThatMissesOneLookIsNotRecorded() throws InterruptedException
    {
        first.setSilent(true);
        int looks = first.looks();
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.looks() > looks)).isTrue();
        first.setSilent(false);
        assertThat(TestJobs.within(SOON_MILLIS, () -> isRecorded("w1"))).isFalse();
    }

    /**
     * A start was decided before its worker fell silent, and its placement was written only after. It
     * would come without a lease of its own, or end with the one that is left to lapse.
     */
    @Test
    void nothingIsStartedOnAWorkerThatWasRecordedInTheMeantime() throws InterruptedException
    {
        platform.fakeStore().loseWritesOf(JobKeys.PROGRESS);
        String other = "00000000000000bb";
        platform.accept(TestJobs.job(other, TestJobs.step(1, 1_000, List.of())));
        Thread.sleep(PLANNED_MILLIS);
        first.setSilent(true);
        assertThat(TestJobs.within(RECORDED_MILLIS, () -> isRecorded("w1"))).isTrue();
        int starts = first.startsAsked();
        platform.fakeStore().loseWritesOf(null);
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.startsAsked() > starts)).isFalse();
        FakeWorker second = platform.addWorker("w2");
        assertThat(TestJobs.within(SOON_MILLIS, () -> second.isRunning(other + ".0.0.0"))).isTrue();
    }

    /**
     * The worker fell silent and answered again while the store took no record: the one that was meant
     * to name it may still be carried out. Once the store takes writes again, the worker is used.
     */
    @Test
    void aWorkerThatIsBackBeforeItsRecordIsWrittenIsUsedAgain() throws InterruptedException
    {
        platform.fakeStore().loseWritesOf(JobKeys.EXPIRING_LEASES);
        first.setSilent(true);
        int looks = first.looks();
        assertThat(TestJobs.within(RECORDED_MILLIS, () -> first.looks() > looks + LOOKS_WHILE_SILENT))
                .isTrue();
        first.setSilent(false);
        Thread.sleep(PLANNED_MILLIS);
        long deadline = first.newestDeadline();
        platform.fakeStore().loseWritesOf(null);
        assertThat(TestJobs.within(SOON_MILLIS, () -> first.newestDeadline() > deadline)).isTrue();
        assertThat(isRecorded("w1")).isFalse();
    }
}
