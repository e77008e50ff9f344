/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.worker.CommandResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against runs of cancelled jobs that continue after a late start, a change of owner or as
 * orphan runs.
 */
@Execution(ExecutionMode.CONCURRENT)
class CancelledRunsTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final StepSpec SINGLE_TASK = TestJobs.step(1, 1_000, List.of());
    private static final long TIMEOUT_MILLIS = 6_000;
    /** Covers the lease of a worker, its margin and the slowest clock. */
    private static final long LEASE_EXPIRY_MILLIS = 9_000;
    /** Number of attempts to send an unanswered start. */
    private static final int START_ATTEMPTS = 3;
    /** Time allowed for a reply to be handled. */
    private static final long REPLY_MILLIS = 300;
    /** Time allowed for stopping a run that was started late. */
    private static final long LATE_START_MILLIS = 3_200;

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

    private void startTerm(String box) throws InterruptedException
    {
        term = new TestTerm(platform, box);
    }

    /** Ends the term and starts one of another box. */
    private void replaceOwner() throws InterruptedException
    {
        term.close();
        startTerm("successor");
    }

    private void accept() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, SINGLE_TASK));
    }

    private void acceptAsTombstone() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, SINGLE_TASK).toTombstone());
    }

    private void cancel() throws InterruptedException
    {
        platform.cancel(TestJobs.ID);
    }

    /** Stores the progress of an earlier owner; the worker is null if the task has no run. */
    private void recordRunningOn(String worker, int run) throws InterruptedException
    {
        TaskProgress task = new TaskProgress(run, 0, false, worker, null);
        record(new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new RoundProgress(List.of(new StepProgress(List.of(task)))))));
    }

    private void record(JobProgress progress) throws InterruptedException
    {
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(TestJobs.ID), JobCodec.writeProgress(progress)));
    }

    private boolean isRecordedAsCancelled()
    {
        return platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).map(StoredValue::value)
                .map(JobCodec::readProgress).map(JobProgress::state)
                .filter(state -> state == JobState.CANCELLED).isPresent();
    }

    private static void awaitStarted(FakeWorker worker, int run) throws InterruptedException
    {
        boolean isStarted = TestJobs.waitUntil(TIMEOUT_MILLIS,
                () -> worker.startedRuns().contains(TASK + '/' + run));
        assertWithMessage("started runs " + worker.startedRuns()).that(isStarted).isTrue();
    }

    /** Waits until the next heartbeat is sent to the worker. */
    private static void awaitNextHeartbeat(FakeWorker worker) throws InterruptedException
    {
        int heartbeats = worker.heartbeatCount();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.heartbeatCount() > heartbeats)).isTrue();
    }

    private void assertRunEnds(FakeWorker worker, long millis) throws InterruptedException
    {
        assertThat(TestJobs.waitUntil(millis, () -> !worker.isRunning(TASK))).isTrue();
    }

    /** The job is cancelled while its start is unanswered, and the stop arrives before the start. */
    @Test
    void rejectsLateStartAfterItsStop() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        worker.loseStarts(100);
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startCount() > 0)).isTrue();
        cancel();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.stoppedTasks().contains(TASK))).isTrue();
        assertThat(worker.deliverLostStart()).isEqualTo(CommandResult.OLD_RUN);
        assertThat(worker.isRunning(TASK)).isFalse();
    }

    /** All stops are lost until the late start has been executed. */
    @Test
    void stopsLateStartThatPrecedesItsStop() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        worker.loseStarts(100);
        worker.loseStops(10);
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startCount() > 0)).isTrue();
        cancel();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
        assertThat(worker.deliverLostStart()).isEqualTo(CommandResult.DONE);
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    /**
     * The start arrives after the lease of the worker has expired and the cancelled job has been
     * evicted.
     */
    @Test
    void stopsLateStartOfEvictedJob() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        awaitNextHeartbeat(worker);
        worker.loseStarts(100);
        worker.loseStops(Integer.MAX_VALUE);
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startCount() > 0)).isTrue();
        worker.setUnresponsive(true);
        cancel();
        assertThat(TestJobs.waitUntil(LEASE_EXPIRY_MILLIS, () -> !isTaskTracked())).isTrue();
        worker.setUnresponsive(false);
        worker.loseStops(0);
        assertThat(worker.deliverLostStart()).isEqualTo(CommandResult.DONE);
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    private boolean isTaskTracked()
    {
        synchronized (term.term().cellState())
        {
            return term.term().cellState().findTask(TASK) != null;
        }
    }

    /** The run starts during the long heartbeat of an idle worker, and the first stops are lost. */
    @Test
    void stopsOrphanRunDespiteLostStops() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptAsTombstone();
        startTerm("box");
        awaitNextHeartbeat(worker);
        awaitNextHeartbeat(worker);
        worker.loseStops(3);
        worker.addRun(TASK, 1);
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    /** The run starts while the worker is not listed and has no session. */
    @Test
    void stopsRunOnRelistedWorker() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptAsTombstone();
        startTerm("box");
        awaitNextHeartbeat(worker);
        platform.unlist("w1");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> !isListed("w1"))).isTrue();
        worker.addRun(TASK, 1);
        platform.list("w1");
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    private boolean isListed(String worker)
    {
        synchronized (term.term().cellState())
        {
            return term.term().cellState().findWorker(worker).isPresent();
        }
    }

    /** The job is cancelled after its owner was replaced. */
    @Test
    void stopsRunOfPreviousOwnerWhenJobIsCancelled() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        accept();
        awaitStarted(worker, 1);
        replaceOwner();
        cancel();
        assertRunEnds(worker, LATE_START_MILLIS);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
    }

    /** The job is cancelled while the cell has no owner. */
    @Test
    void stopsRunOfJobCancelledBetweenTwoOwners() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        accept();
        awaitStarted(worker, 1);
        term.close();
        cancel();
        startTerm("successor");
        assertRunEnds(worker, LATE_START_MILLIS);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
    }

    /** The previous owner recorded the cancellation but ended before it sent the stop. */
    @Test
    void nextOwnerStopsRunOfTombstonedJob() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptAsTombstone();
        cancel();
        record(new JobProgress(TestJobs.QUEUE.name(), JobState.CANCELLED, null));
        worker.addRun(TASK, 1);
        startTerm("successor");
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    /** The worker of a recorded run is listed some time after the next owner began. */
    @Test
    void stopsRecordedRunOnWorkerListedLater() throws InterruptedException
    {
        accept();
        recordRunningOn("w1", 1);
        cancel();
        startTerm("successor");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
        FakeWorker worker = platform.addWorker("w1");
        worker.addRun(TASK, 1);
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    /** A start of the previous owner arrives after its successor has sent a heartbeat. */
    @Test
    void rejectsLateStartOfPreviousOwner() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        worker.loseStarts(100);
        worker.loseStops(Integer.MAX_VALUE);
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startCount() >= START_ATTEMPTS)).isTrue();
        worker.loseStarts(0);
        replaceOwner();
        awaitStarted(worker, 2);
        worker.loseStops(0);
        cancel();
        assertThat(worker.deliverLostStart()).isEqualTo(CommandResult.FENCED);
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    /**
     * Guards against taking the reply to a start for the reply to a stop. The stop of an earlier run is
     * still unanswered, so the stop of the current run waits for it.
     */
    @Test
    void startReplyAfterCancellationDoesNotSettleTheStop() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        accept();
        recordRunningOn(null, 1);
        worker.addRun(TASK, 1);
        worker.delayStartReplies(true);
        worker.delayStopReplies(true);
        startTerm("box");
        awaitStarted(worker, 2);
        cancel();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
        worker.delayStartReplies(false);
        Thread.sleep(REPLY_MILLIS);
        worker.delayStopReplies(false);
        assertRunEnds(worker, LATE_START_MILLIS);
    }

    /**
     * Guards against starting a job without reading its cancellation when a peer reports the job and
     * the watch delivers no events.
     */
    @Test
    void doesNotStartCancelledJobReportedByPeer() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        awaitNextHeartbeat(worker);
        platform.fakeStore().suppressWatches(true);
        accept();
        cancel();
        term.term().onJobWritten(TestJobs.ID);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
        assertThat(worker.startCount()).isEqualTo(0);
    }

    /** The record of the job is written after its cancellation. */
    @Test
    void doesNotStartJobWrittenAfterItsCancellation() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        cancel();
        startTerm("box");
        awaitNextHeartbeat(worker);
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
        assertThat(worker.startCount()).isEqualTo(0);
    }

    /** The watch delivers no events, and a peer reports the cancellation. */
    @Test
    void cancellationReportedByPeerStopsTheRun() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        startTerm("box");
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        platform.fakeStore().suppressWatches(true);
        cancel();
        term.term().onJobCancelled(TestJobs.ID);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> !worker.isRunning(TASK))).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::isRecordedAsCancelled)).isTrue();
    }
}
