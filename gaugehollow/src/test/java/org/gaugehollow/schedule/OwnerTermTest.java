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
        platform.store().commit(new StoreTransaction().put(JobKeys.cancel(TestJobs.ID), new byte[]{'1'}));
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
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
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
        assertThat(TestJobs.within(1_000, () -> !worker.begun().isEmpty())).isFalse();
        config.set(new CellConfig(1, List.of(), List.of("service"), Customers.NONE));
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
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
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        assertThat(worker.begun().size()).isLessThan(jobs);
    }

    @Test
    void jobMissedByWatchIsReadOnceAPeerReportsIt() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
        platform.fakeStore().silenceWatches(true);
        acceptOtherJob();
        assertThat(TestJobs.within(500, () -> worker.begun().size() > 1)).isFalse();
        term.term().onJobWritten(OTHER_ID);
        List<String> both = List.of(TASK + "/1", OTHER_ID + ".0.0.0/1");
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(both))).isTrue();
        platform.fakeStore().silenceWatches(false);
        assertThat(TestJobs.within(500, () -> worker.begun().size() > 2)).isFalse();
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
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
        platform.fakeStore().silenceWatches(true);
        acceptOtherJob();
        platform.store().commit(new StoreTransaction().put(JobKeys.cancel(OTHER_ID), new byte[]{'1'}));
        term.term().onJobWritten(OTHER_ID);
        assertThat(TestJobs.within(1_500, () -> worker.begun().size() > 1)).isFalse();
        platform.fakeStore().silenceWatches(false);
        assertThat(TestJobs.within(500, () -> worker.begun().size() > 1)).isFalse();
    }

    @Test
    void finishedJobIsNotStartedByNextOwner() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        JobRecord tombstone = TestJobs.job(TestJobs.ID, ONE_TASK).toTombstone();
        platform.store().commit(
                new StoreTransaction().put(JobKeys.job(TestJobs.ID), JobCodec.writeRecord(tombstone)));
        beginTerm();
        assertThat(TestJobs.within(1_000, () -> !worker.begun().isEmpty())).isFalse();
        assertThat(TestJobs.within(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
    }

    @Test
    void recordsOfFinishedJobAreRemovedAfterRetentionTime() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(1_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isFalse();
        assertThat(TestJobs.within(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
        assertThat(platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).isEmpty()).isTrue();
    }

    @Test
    void recordsOfJobCancelledDuringRefusedStartAreRemoved() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.turnAwayAndHoldStarts();
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(3_000, () -> worker.startsAsked() == 1)).isTrue();
        cancelJob();
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.CANCELLED)).isTrue();
        worker.letStartsGo();
        assertThat(TestJobs.within(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
    }

    @Test
    void nextOwnerReadsUnwrittenRunEnd() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        worker.runs(TASK, 1);
        worker.end(TASK, RunEnd.DONE);
        beginTerm();
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(worker.begun()).isEmpty();
    }

    @Test
    void cancellationReadBeforeWorkersStopsRuns() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        worker.runs(TASK, 1);
        cancelJob();
        beginTerm();
        assertThat(TestJobs.within(4_000, () -> worker.stopped().contains(TASK))).isTrue();
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.CANCELLED)).isTrue();
    }

    @Test
    void recordedButUnsentStartIsSentAsNextRun() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        beginTerm();
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/2")))).isTrue();
    }

    @Test
    void taskThatMayRunOnUnlistedWorkerIsNotStartedElsewhere() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w2");
        acceptJob(ONE_TASK);
        storeRunningTask("w1", 1);
        beginTerm();
        assertThat(TestJobs.within(1_500, () -> !worker.begun().isEmpty())).isFalse();
    }

    @Test
    void startThatArrivesAfterItsStopIsRefused() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.loseStarts(3);
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(6_000, () -> worker.begun().equals(List.of(TASK + "/2")))).isTrue();
        assertThat(worker.arriveLate()).isEqualTo(CommandResult.OLD_RUN);
        assertThat(worker.begun()).containsExactly(TASK + "/2");
    }

    @Test
    void runsOfEndedIncarnationRestartElsewhere() throws InterruptedException
    {
        FakeWorker first = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(3_000, () -> !first.begun().isEmpty())).isTrue();
        FakeWorker second = platform.addWorker("w2");
        first.endLife();
        assertThat(TestJobs.within(4_000, () -> second.begun().equals(List.of(TASK + "/2")))).isTrue();
    }

    @Test
    void runEndsAreAcknowledgedOnlyAfterStoreRecovers() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        platform.fakeStore().setDown(true);
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(1_500, () -> worker.unnoted() == 0)).isFalse();
        platform.fakeStore().setDown(false);
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(3_000, () -> worker.unnoted() == 0)).isTrue();
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
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        platform.fakeStore().loseWritesOf(JobKeys.PROGRESS);
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(3_000, this::isEndRead)).isTrue();
        platform.unlist("w1");
        assertThat(TestJobs.within(3_000, worker::isClosed)).isTrue();
        platform.list("w1");
        assertThat(TestJobs.within(2_500, () -> worker.unnoted() == 0)).isFalse();
        platform.fakeStore().loseWritesOf(null);
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(3_000, () -> worker.unnoted() == 0)).isTrue();
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
        assertThat(TestJobs.within(3_000, () -> !first.begun().isEmpty() && !second.begun().isEmpty()))
                .isTrue();
        platform.fakeStore().loseWritesOf(JobKeys.PROGRESS);
        second.setSilent(true);
        first.end(first.begun().getFirst().replace("/1", ""), RunEnd.DONE);
        assertThat(TestJobs.within(3_000, this::isEndRead)).isTrue();
        second.end(second.begun().getFirst().replace("/1", ""), RunEnd.DONE);
        second.setSilent(false);
        assertThat(TestJobs.within(2_500, () -> second.unnoted() == 0)).isFalse();
        platform.fakeStore().loseWritesOf(null);
        assertThat(TestJobs.within(3_000, () -> storedState() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(3_000, () -> first.unnoted() + second.unnoted() == 0)).isTrue();
    }

    @Test
    void nothingStartsOnWorkerThatMissesHeartbeats() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        OwnerLease lease = beginTerm();
        Thread.sleep(300);
        worker.setSilent(true);
        Thread.sleep(5_000);
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(2_000, () -> worker.startsAsked() > 0)).isFalse();
        worker.setSilent(false);
        boolean hasStarted = TestJobs.within(5_000, () -> worker.begun().equals(List.of(TASK + "/1")));
        assertWithMessage(
                "started " + worker.begun() + ", term ended: " + lease.hasEnded() + ' ' + lease.endReason())
                .that(hasStarted).isTrue();
    }

    @Test
    void runsOfUnresponsiveWorkerRestartElsewhereOnlyAfterLeaseExpires() throws InterruptedException
    {
        FakeWorker unresponsive = platform.addWorker("w1");
        beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(3_000, () -> !unresponsive.begun().isEmpty())).isTrue();
        unresponsive.setSilent(true);
        FakeWorker other = platform.addWorker("w2");
        assertThat(TestJobs.within(4_500, () -> !other.begun().isEmpty())).isFalse();
        assertThat(TestJobs.within(4_500, () -> other.begun().equals(List.of(TASK + "/2")))).isTrue();
    }

    @Test
    void ownerFencedByWorkerEndsItsTerm() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        OwnerLease lease = beginTerm();
        acceptJob(ONE_TASK);
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        worker.stop("other", 1, Long.MAX_VALUE, 100);
        assertThat(lease.awaitEnd(4_000)).isTrue();
    }

    @Test
    void startWithExpiredTicketIsDecidedAgain() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        platform.setAdvice((step, ids,
                timeout) -> new Advice(ids.stream().map(id -> new Ticket(id, "ticket")).toList(), 500));
        platform.fakeStore().afterNextCommitOf(JobKeys.PROGRESS, () -> Thread.sleep(700));
        beginTerm();
        acceptAdvisedJob(ONE_TASK);
        assertThat(TestJobs.within(5_000, () -> !worker.begun().isEmpty())).isTrue();
        assertThat(worker.begun()).containsExactly(TASK + "/2");
        assertThat(worker.startsAsked()).isEqualTo(1);
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
        platform.fakeStore().afterNextCommitOf(JobKeys.PROGRESS, () -> Thread.sleep(700));
        beginTerm();
        acceptAdvisedJob(TestJobs.step(2, 10_000, List.of()));
        assertThat(TestJobs.within(5_000, () -> worker.startsAsked() > 0)).isTrue();
        assertThat(calls.get()).isGreaterThan(1);
        assertThat(worker.newestTicket()).isNotEqualTo("ticket-1");
    }
}
