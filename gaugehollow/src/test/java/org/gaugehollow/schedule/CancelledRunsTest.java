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
 * Runs of cancelled jobs are ended however they came about: started late, started by a box that is
 * gone, or not known to the owner at all.
 */
@Execution(ExecutionMode.CONCURRENT)
class CancelledRunsTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final StepSpec ONE = TestJobs.step(1, 1_000, List.of());
    private static final long SOON_MILLIS = 6_000;
    /** Long enough for a lease on a worker, the margin after it and the slowest clock. */
    private static final long LAPSED_MILLIS = 9_000;
    /** So often is a start sent that gets no answer. */
    private static final int START_TRIES = 3;
    /** By then an answer is taken. */
    private static final long ANSWER_MILLIS = 300;
    /** By then a run that a worker started late has to be gone. */
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

    private void begin(String box) throws InterruptedException
    {
        term = new TestTerm(platform, box);
    }

    /** The owner's box is gone for good, and another one owns the cell. */
    private void replaceOwner() throws InterruptedException
    {
        term.close();
        begin("successor");
    }

    private void accept() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, ONE));
    }

    private void acceptAsOver() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, ONE).toTombstone());
    }

    private void cancel() throws InterruptedException
    {
        platform.store().commit(new StoreTransaction().put(JobKeys.cancel(TestJobs.ID), new byte[]{'1'}));
    }

    /** What an earlier owner knew last of the task; no worker if it had no run at work. */
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

    private boolean isShownAsCancelled()
    {
        return platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).map(StoredValue::value)
                .map(JobCodec::readProgress).map(JobProgress::state)
                .filter(state -> state == JobState.CANCELLED).isPresent();
    }

    private static void awaitBegun(FakeWorker worker, int run) throws InterruptedException
    {
        boolean begun = TestJobs.within(SOON_MILLIS, () -> worker.begun().contains(TASK + '/' + run));
        assertWithMessage("begun " + worker.begun()).that(begun).isTrue();
    }

    /** Returns once the worker has just been sent another look. */
    private static void awaitNextLook(FakeWorker worker) throws InterruptedException
    {
        int looks = worker.looks();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.looks() > looks)).isTrue();
    }

    private void assertEnds(FakeWorker worker, long millis) throws InterruptedException
    {
        assertThat(TestJobs.within(millis, () -> !worker.isRunning(TASK))).isTrue();
    }

    /** The job is cancelled while its start has no answer; the stop arrives before the start. */
    @Test
    void aLateStartThatItsStopOvertookIsRejected() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        worker.loseStarts(100);
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.startsAsked() > 0)).isTrue();
        cancel();
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.stopped().contains(TASK))).isTrue();
        assertThat(worker.arriveLate()).isEqualTo(CommandResult.OLD_RUN);
        assertThat(worker.isRunning(TASK)).isFalse();
    }

    /** No stop gets through until the late start has been carried out. */
    @Test
    void aLateStartThatOvertakesItsStopIsStopped() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        worker.loseStarts(100);
        worker.loseStops(10);
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.startsAsked() > 0)).isTrue();
        cancel();
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
        assertThat(worker.arriveLate()).isEqualTo(CommandResult.DONE);
        assertEnds(worker, LATE_START_MILLIS);
    }

    /**
     * The worker answers nothing until its lease is over, so the task counts as gone and its cancelled
     * job is dropped. The start arrives after that all the same.
     */
    @Test
    void aLateStartOfAJobThatWasDroppedIsStopped() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        awaitNextLook(worker);
        worker.loseStarts(100);
        worker.loseStops(Integer.MAX_VALUE);
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.startsAsked() > 0)).isTrue();
        worker.setSilent(true);
        cancel();
        assertThat(TestJobs.within(LAPSED_MILLIS, () -> !knowsJobAtWork())).isTrue();
        worker.setSilent(false);
        worker.loseStops(0);
        assertThat(worker.arriveLate()).isEqualTo(CommandResult.DONE);
        assertEnds(worker, LATE_START_MILLIS);
    }

    private boolean knowsJobAtWork()
    {
        synchronized (term.term().cellState())
        {
            return term.term().cellState().find(TASK) != null;
        }
    }

    /**
     * A worker starts a run of a cancelled job that its owner does not know, just after an idle worker
     * was sent a look, which waits for long. The first stops get lost on the way.
     */
    @Test
    void anUnknownRunIsStoppedInTimeThoughTheFirstStopsAreLost() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptAsOver();
        begin("box");
        awaitNextLook(worker);
        awaitNextLook(worker);
        worker.loseStops(3);
        worker.runs(TASK, 1);
        assertEnds(worker, LATE_START_MILLIS);
    }

    /** The worker was not listed when the late start arrived; its session was over. */
    @Test
    void aRunOnAWorkerThatIsListedAgainIsStopped() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptAsOver();
        begin("box");
        awaitNextLook(worker);
        platform.unlist("w1");
        assertThat(TestJobs.within(SOON_MILLIS, () -> !isListed("w1"))).isTrue();
        worker.runs(TASK, 1);
        platform.list("w1");
        assertEnds(worker, LATE_START_MILLIS);
    }

    private boolean isListed(String worker)
    {
        synchronized (term.term().cellState())
        {
            return term.term().cellState().worker(worker).isPresent();
        }
    }

    /** The box that started the run is gone when the job is cancelled. */
    @Test
    void aRunOfABoxThatIsGoneIsStoppedOnceItsJobIsCancelled() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        accept();
        awaitBegun(worker, 1);
        replaceOwner();
        cancel();
        assertEnds(worker, LATE_START_MILLIS);
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
    }

    /** The job is cancelled while no box owns the cell. */
    @Test
    void aRunWhoseJobIsCancelledBetweenTwoOwnersIsStopped() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        accept();
        awaitBegun(worker, 1);
        term.close();
        cancel();
        begin("successor");
        assertEnds(worker, LATE_START_MILLIS);
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
    }

    /** The box wrote that the job is cancelled and was gone before it sent the stop. */
    @Test
    void aRunOfAJobThatIsRecordedAsOverIsStoppedByTheNextOwner() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        acceptAsOver();
        cancel();
        record(new JobProgress(TestJobs.QUEUE.name(), JobState.CANCELLED, null));
        worker.runs(TASK, 1);
        begin("successor");
        assertEnds(worker, LATE_START_MILLIS);
    }

    /** The worker is listed only some time after the next owner began, with a run from before. */
    @Test
    void aRecordedRunOnAWorkerThatIsListedLaterIsStopped() throws InterruptedException
    {
        accept();
        recordRunningOn("w1", 1);
        cancel();
        begin("successor");
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
        FakeWorker worker = platform.addWorker("w1");
        worker.runs(TASK, 1);
        assertEnds(worker, LATE_START_MILLIS);
    }

    /** A start that the gone box sent arrives after its successor has looked at the worker. */
    @Test
    void aLateStartOfABoxThatIsGoneIsRejected() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        worker.loseStarts(100);
        worker.loseStops(Integer.MAX_VALUE);
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.startsAsked() >= START_TRIES)).isTrue();
        worker.loseStarts(0);
        replaceOwner();
        awaitBegun(worker, 2);
        worker.loseStops(0);
        cancel();
        assertThat(worker.arriveLate()).isEqualTo(CommandResult.FENCED);
        assertEnds(worker, LATE_START_MILLIS);
    }

    /**
     * A stop of an earlier run of the task is still unanswered when the next run is started on the same
     * worker and its job is cancelled. Only one stop of a task is sent at a time, so the second one
     * waits. Then the start is answered, which used to count as an answer to that stop, so that it was
     * never sent.
     */
    @Test
    void aStartThatIsAnsweredAfterItsJobWasCancelledDoesNotSettleTheStop() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        accept();
        recordRunningOn(null, 1);
        worker.runs(TASK, 1);
        worker.holdStartAnswers(true);
        worker.holdStopAnswers(true);
        begin("box");
        awaitBegun(worker, 2);
        cancel();
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
        worker.holdStartAnswers(false);
        Thread.sleep(ANSWER_MILLIS);
        worker.holdStopAnswers(false);
        assertEnds(worker, LATE_START_MILLIS);
    }

    /**
     * The watch tells of neither the job nor its cancellation. A peer tells that it wrote the record;
     * the owner used to read just the record then and started what was cancelled.
     */
    @Test
    void aCancelledJobOfWhichAPeerTellsIsNotStarted() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        awaitNextLook(worker);
        platform.fakeStore().silenceWatches(true);
        accept();
        cancel();
        term.term().onJobWritten(TestJobs.ID);
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
        assertThat(worker.startsAsked()).isEqualTo(0);
    }

    /** The write of the record was carried out late, after the cancellation. */
    @Test
    void aJobWhoseRecordComesAfterItsCancellationIsNotStarted() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        cancel();
        begin("box");
        awaitNextLook(worker);
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
        assertThat(worker.startsAsked()).isEqualTo(0);
    }

    /** The owner's watch hears nothing; the box that wrote the cancellation tells of it. */
    @Test
    void aCancellationOfWhichAPeerTellsStopsWhatRuns() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        begin("box");
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        platform.fakeStore().silenceWatches(true);
        cancel();
        term.term().onJobCancelled(TestJobs.ID);
        assertThat(TestJobs.within(SOON_MILLIS, () -> !worker.isRunning(TASK))).isTrue();
        assertThat(TestJobs.within(SOON_MILLIS, this::isShownAsCancelled)).isTrue();
    }
}
