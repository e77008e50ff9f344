/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.Advice.Ticket;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Tests terms of owners on an in-memory store and workers. */
@Execution(ExecutionMode.CONCURRENT)
class OwnerTermTest
{
    private static final String OTHER_ID = "00000000000000bb";
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final StepSpec ONE_TASK = TestJobs.step(1, 1_000, List.of());

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
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

    private OwnerLease beginTerm() throws InterruptedException
    {
        term = new TestTerm(platform, "box", events, RETENTION_NANOS);
        return term.lease();
    }

    private void acceptJob(StepSpec... steps) throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, steps));
    }

    private void acceptOtherJob() throws InterruptedException
    {
        platform.accept(TestJobs.job(OTHER_ID, ONE_TASK));
    }

    /** Accepts a job of a queue that requires tickets. */
    private void acceptAdvisedJob(StepSpec step) throws InterruptedException
    {
        JobRecord advised = new JobRecord(TestJobs.ID, TestJobs.ADVISED_QUEUE,
                new JobSpec("text", List.of(step), 0, 0, 0), 0);
        platform.store()
                .commit(new StoreTransaction().put(JobKeys.job(TestJobs.ID), JobCodec.writeRecord(advised)));
    }

    private void storeRunningTask(String worker, int run) throws InterruptedException
    {
        TaskProgress task = new TaskProgress(run, 0, false, worker, null);
        JobProgress progress = new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new RoundProgress(List.of(new StepProgress(List.of(task))))));
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(TestJobs.ID), JobCodec.writeProgress(progress)));
    }

    private void cancelJob() throws InterruptedException
    {
        platform.cancel(TestJobs.ID);
    }

    private JobState storedState()
    {
        return platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).map(StoredValue::value)
                .map(JobCodec::readProgress).map(JobProgress::state).orElse(JobState.QUEUED);
    }

    @Test
    void acceptedJobRunsAndIsStoredAsCompleted() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> worker.startedRuns().equals(List.of(TASK + "/1"))))
                .isTrue();
        worker.endRun(TASK, RunEnd.DONE);
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
    }

    /**
     * Guards against starts without known quotas and services, if a box becomes the owner before it has
     * read a configuration.
     */
    @Test
    void nothingStartsWithoutConfiguration() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        AtomicReference<CellConfig> config = new AtomicReference<>(CellConfig.NONE);
        term = new TestTerm(platform, "box", events, RETENTION_NANOS, config::get);
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(1_000, () -> !worker.startedRuns().isEmpty())).isFalse();
        config.set(new CellConfig(1, List.of(), List.of("service"), Customers.NONE));
        assertThat(TestJobs.waitUntil(3_000, () -> worker.startedRuns().equals(List.of(TASK + "/1"))))
                .isTrue();
    }

    @Test
    void startWaitsOnlyForItsOwnRecord() throws InterruptedException
    {
        int jobs = 40;
        for (int i = 0; i < jobs; i++)
        {
            String id = String.format("%016x", i);
            platform.accept(TestJobs.job(id, TestJobs.step(1, 100, List.of())));
        }
        FakeWorker worker = platform.addWorker("w1");
        platform.fakeStore().goDownAfterWriting(JobKeys.PROGRESS);
        beginTerm();
        assertThat(TestJobs.waitUntil(3_000, () -> !worker.startedRuns().isEmpty())).isTrue();
        assertThat(worker.startedRuns().size()).isLessThan(jobs);
    }

    @Test
    void jobMissedByWatchIsReadOnceAPeerReportsIt() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> worker.startedRuns().equals(List.of(TASK + "/1"))))
                .isTrue();
        platform.fakeStore().suppressWatches(true);
        acceptOtherJob();
        assertThat(TestJobs.waitUntil(500, () -> worker.startedRuns().size() > 1)).isFalse();
        term.term().onJobWritten(OTHER_ID);
        List<String> both = List.of(TASK + "/1", OTHER_ID + ".0.0.0/1");
        assertThat(TestJobs.waitUntil(3_000, () -> worker.startedRuns().equals(both))).isTrue();
        platform.fakeStore().suppressWatches(false);
        assertThat(TestJobs.waitUntil(500, () -> worker.startedRuns().size() > 2)).isFalse();
    }

    /**
     * Guards against reading the record of a reported job without its cancellation, which starts a
     * cancelled task.
     */
    @Test
    void cancelledJobReportedByPeerIsNotStarted() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> worker.startedRuns().equals(List.of(TASK + "/1"))))
                .isTrue();
        platform.fakeStore().suppressWatches(true);
        acceptOtherJob();
        platform.cancel(OTHER_ID);
        term.term().onJobWritten(OTHER_ID);
        assertThat(TestJobs.waitUntil(1_500, () -> worker.startedRuns().size() > 1)).isFalse();
        platform.fakeStore().suppressWatches(false);
        assertThat(TestJobs.waitUntil(500, () -> worker.startedRuns().size() > 1)).isFalse();
    }

    @Test
    void finishedJobIsNotStartedByNextOwner() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        JobRecord tombstone = TestJobs.job(TestJobs.ID, ONE_TASK).toTombstone();
        platform.store().commit(
                new StoreTransaction().put(JobKeys.job(TestJobs.ID), JobCodec.writeRecord(tombstone)));
        beginTerm();
        assertThat(TestJobs.waitUntil(1_000, () -> !worker.startedRuns().isEmpty())).isFalse();
        assertThat(
                TestJobs.waitUntil(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
    }

    @Test
    void recordsOfFinishedJobAreRemovedAfterRetentionTime() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> !worker.startedRuns().isEmpty())).isTrue();
        worker.endRun(TASK, RunEnd.DONE);
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(
                TestJobs.waitUntil(1_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isFalse();
        assertThat(
                TestJobs.waitUntil(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
        assertThat(platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).isEmpty()).isTrue();
    }

    @Test
    void recordsOfJobCancelledDuringRefusedStartAreRemoved() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.refuseAndDelayStarts();
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> worker.startCount() == 1)).isTrue();
        cancelJob();
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.CANCELLED)).isTrue();
        worker.releaseStarts();
        assertThat(
                TestJobs.waitUntil(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
    }

    @Test
    void nextOwnerReadsUnwrittenRunEnd() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        worker.addRun(TASK, 1);
        worker.endRun(TASK, RunEnd.DONE);
        beginTerm();
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(worker.startedRuns()).isEmpty();
    }

    @Test
    void cancellationReadBeforeWorkersStopsRuns() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        worker.addRun(TASK, 1);
        cancelJob();
        beginTerm();
        assertThat(TestJobs.waitUntil(4_000, () -> worker.stoppedTasks().contains(TASK))).isTrue();
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.CANCELLED)).isTrue();
    }

    @Test
    void recordedButUnsentStartIsSentAsNextRun() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        beginTerm();
        assertThat(TestJobs.waitUntil(3_000, () -> worker.startedRuns().equals(List.of(TASK + "/2"))))
                .isTrue();
    }

    @Test
    void taskThatMayRunOnUnlistedWorkerIsNotStartedElsewhere() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w2");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        beginTerm();
        assertThat(TestJobs.waitUntil(1_500, () -> !worker.startedRuns().isEmpty())).isFalse();
    }

    @Test
    void startThatArrivesAfterItsStopIsRefused() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.loseStarts(3);
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(6_000, () -> worker.startedRuns().equals(List.of(TASK + "/2"))))
                .isTrue();
        assertThat(worker.deliverLostStart()).isEqualTo(CommandResult.OLD_RUN);
        assertThat(worker.startedRuns()).containsExactly(TASK + "/2");
    }

    @Test
    void runsOfEndedIncarnationRestartElsewhere() throws InterruptedException
    {
        FakeWorker first = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> !first.startedRuns().isEmpty())).isTrue();
        FakeWorker second = platform.addWorker("w2");
        first.endIncarnation();
        assertThat(TestJobs.waitUntil(4_000, () -> second.startedRuns().equals(List.of(TASK + "/2"))))
                .isTrue();
    }

    @Test
    void runEndsAreAcknowledgedOnlyAfterStoreRecovers() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> !worker.startedRuns().isEmpty())).isTrue();
        platform.fakeStore().setDown(true);
        worker.endRun(TASK, RunEnd.DONE);
        assertThat(TestJobs.waitUntil(1_500, () -> worker.unacknowledgedEndCount() == 0)).isFalse();
        platform.fakeStore().setDown(false);
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.waitUntil(3_000, () -> worker.unacknowledgedEndCount() == 0)).isTrue();
    }

    private boolean isEndRead()
    {
        return events.since(0).stream().anyMatch(event -> event.name().equals(EventType.RUN_ENDED.name()));
    }

    /**
     * Guards against acknowledging a run end before it is written: a new session reports the end again
     * to an owner that already considers the task done, and the next owner would start the task again.
     */
    @Test
    void runEndReportedToNewSessionIsAcknowledgedOnlyOnceWritten() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> !worker.startedRuns().isEmpty())).isTrue();
        platform.fakeStore().loseWritesTo(JobKeys.PROGRESS);
        worker.endRun(TASK, RunEnd.DONE);
        assertThat(TestJobs.waitUntil(3_000, this::isEndRead)).isTrue();
        platform.unlist("w1");
        assertThat(TestJobs.waitUntil(3_000, worker::isClosed)).isTrue();
        platform.list("w1");
        assertThat(TestJobs.waitUntil(2_500, () -> worker.unacknowledgedEndCount() == 0)).isFalse();
        platform.fakeStore().loseWritesTo(null);
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.waitUntil(3_000, () -> worker.unacknowledgedEndCount() == 0)).isTrue();
    }

    /**
     * Guards against acknowledging the end of a gang member at once because another member's unwritten
     * end has already completed the gang.
     */
    @Test
    void runEndsOfAllGangMembersAreAcknowledgedOnlyOnceWritten() throws InterruptedException
    {
        FakeWorker first = platform.addWorker("w1");
        FakeWorker second = platform.addWorker("w2");
        beginTerm();
        acceptJob(TestJobs.gang(2, 10_000));
        assertThat(TestJobs.waitUntil(3_000,
                () -> !first.startedRuns().isEmpty() && !second.startedRuns().isEmpty())).isTrue();
        platform.fakeStore().loseWritesTo(JobKeys.PROGRESS);
        second.setUnresponsive(true);
        first.endRun(first.startedRuns().getFirst().replace("/1", ""), RunEnd.DONE);
        assertThat(TestJobs.waitUntil(3_000, this::isEndRead)).isTrue();
        second.endRun(second.startedRuns().getFirst().replace("/1", ""), RunEnd.DONE);
        second.setUnresponsive(false);
        assertThat(TestJobs.waitUntil(2_500, () -> second.unacknowledgedEndCount() == 0)).isFalse();
        platform.fakeStore().loseWritesTo(null);
        assertThat(TestJobs.waitUntil(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.waitUntil(3_000,
                () -> first.unacknowledgedEndCount() + second.unacknowledgedEndCount() == 0)).isTrue();
    }

    @Test
    void nothingStartsOnWorkerThatMissesHeartbeats() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        OwnerLease lease = beginTerm();
        Thread.sleep(300);
        worker.setUnresponsive(true);
        Thread.sleep(5_000);
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(2_000, () -> worker.startCount() > 0)).isFalse();
        worker.setUnresponsive(false);
        boolean hasStarted = TestJobs.waitUntil(5_000,
                () -> worker.startedRuns().equals(List.of(TASK + "/1")));
        assertWithMessage("started " + worker.startedRuns() + ", term ended: " + lease.hasEnded() + ' '
                + lease.endReason()).that(hasStarted).isTrue();
    }

    @Test
    void runsOfUnresponsiveWorkerRestartElsewhereOnlyAfterLeaseExpires() throws InterruptedException
    {
        FakeWorker unresponsive = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> !unresponsive.startedRuns().isEmpty())).isTrue();
        unresponsive.setUnresponsive(true);
        FakeWorker other = platform.addWorker("w2");
        assertThat(TestJobs.waitUntil(4_500, () -> !other.startedRuns().isEmpty())).isFalse();
        assertThat(TestJobs.waitUntil(4_500, () -> other.startedRuns().equals(List.of(TASK + "/2"))))
                .isTrue();
    }

    @Test
    void ownerFencedByWorkerEndsItsTerm() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        OwnerLease lease = beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(3_000, () -> !worker.startedRuns().isEmpty())).isTrue();
        worker.stop("other", 1, Long.MAX_VALUE, 100);
        assertThat(lease.awaitEnd(4_000)).isTrue();
    }

    @Test
    void startWithExpiredTicketIsDecidedAgain() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        platform.setAdvice((step, ids,
                timeout) -> new Advice(ids.stream().map(id -> new Ticket(id, "ticket")).toList(), 500));
        platform.fakeStore().afterNextCommitTo(JobKeys.PROGRESS, () -> Thread.sleep(700));
        beginTerm();
        acceptAdvisedJob(ONE_TASK);
        assertThat(TestJobs.waitUntil(5_000, () -> !worker.startedRuns().isEmpty())).isTrue();
        assertThat(worker.startedRuns()).containsExactly(TASK + "/2");
        assertThat(worker.startCount()).isEqualTo(1);
    }

    /** Guards against sending an expired ticket although a valid one for the same step is cached. */
    @Test
    void startCarriesTicketThatIsValidWhenSent() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        AtomicInteger calls = new AtomicInteger();
        platform.setAdvice((step, ids, timeout) ->
        {
            String text = "ticket-" + calls.incrementAndGet();
            return new Advice(ids.stream().map(id -> new Ticket(id, text)).toList(), 500);
        });
        platform.fakeStore().afterNextCommitTo(JobKeys.PROGRESS, () -> Thread.sleep(700));
        beginTerm();
        acceptAdvisedJob(TestJobs.step(2, 10_000, List.of()));
        assertThat(TestJobs.waitUntil(5_000, () -> worker.startCount() > 0)).isTrue();
        assertThat(calls.get()).isGreaterThan(1);
        assertThat(worker.newestTicket()).isNotEqualTo("ticket-1");
    }
}
