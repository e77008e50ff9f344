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

/**
 * Terms of owners against a store and workers in memory: what is taken over, settled and written.
 */
@Execution(ExecutionMode.CONCURRENT)
class OwnerTermTest
{
    private static final String OTHER_ID = "00000000000000bb";
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final StepSpec ONE = TestJobs.step(1, 1_000, List.of());

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

    private void accept(StepSpec... steps) throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, steps));
    }

    private void acceptAnother() throws InterruptedException
    {
        platform.accept(TestJobs.job(OTHER_ID, ONE));
    }

    /** Accepts a job of a queue that needs tickets. */
    private void acceptAdvised(StepSpec step) throws InterruptedException
    {
        JobRecord advised = new JobRecord(TestJobs.ID, TestJobs.ADVISED_QUEUE,
                new JobSpec("text", List.of(step), 0, 0, 0), 0);
        platform.store()
                .commit(new StoreTransaction().put(JobKeys.job(TestJobs.ID), JobCodec.writeRecord(advised)));
    }

    private void recordRunningOn(String worker, int run) throws InterruptedException
    {
        TaskProgress task = new TaskProgress(run, 0, false, worker, null);
        JobProgress progress = new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new RoundProgress(List.of(new StepProgress(List.of(task))))));
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(TestJobs.ID), JobCodec.writeProgress(progress)));
    }

    private void cancel() throws InterruptedException
    {
        platform.store().commit(new StoreTransaction().put(JobKeys.cancel(TestJobs.ID), new byte[]{'1'}));
    }

    private JobState state()
    {
        return platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).map(StoredValue::value)
                .map(JobCodec::readProgress).map(JobProgress::state).orElse(JobState.QUEUED);
    }

    @Test
    void anAcceptedJobRunsAndIsShownAsCompletedOnceItsEndIsWritten() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(3_000, () -> state() == JobState.COMPLETED)).isTrue();
    }

    /**
     * A box may own the cell before it has read a configuration. It would hold nobody to a quota then,
     * and would not know which workers a queue may use.
     */
    @Test
    void nothingIsStartedBeforeThereIsAConfiguration() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        AtomicReference<CellConfig> config = new AtomicReference<>(CellConfig.NONE);
        term = new TestTerm(platform, "box", events, RETENTION_NANOS, config::get);
        accept(ONE);
        assertThat(TestJobs.within(1_000, () -> !worker.begun().isEmpty())).isFalse();
        config.set(new CellConfig(1, List.of(), List.of("service"), Customers.NONE));
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
    }

    @Test
    void aStartWaitsForItsOwnRecordOnly() throws InterruptedException
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
    void aJobOfWhichTheWatchDoesNotTellIsReadOnceAPeerTellsOfIt() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
        platform.fakeStore().silenceWatches(true);
        acceptAnother();
        assertThat(TestJobs.within(500, () -> worker.begun().size() > 1)).isFalse();
        term.term().onJobWritten(OTHER_ID);
        List<String> both = List.of(TASK + "/1", OTHER_ID + ".0.0.0/1");
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(both))).isTrue();
        platform.fakeStore().silenceWatches(false);
        assertThat(TestJobs.within(500, () -> worker.begun().size() > 2)).isFalse();
    }

    /**
     * A peer tells the owner of a job that was cancelled in the meantime, while the owner's watch hears
     * nothing. The owner read the job's record alone, not its cancellation, and started its task long
     * after the cancellation had been acknowledged.
     */
    @Test
    void aCancelledJobThatAPeerTellsOfIsNotStarted() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/1")))).isTrue();
        platform.fakeStore().silenceWatches(true);
        acceptAnother();
        platform.store().commit(new StoreTransaction().put(JobKeys.cancel(OTHER_ID), new byte[]{'1'}));
        term.term().onJobWritten(OTHER_ID);
        assertThat(TestJobs.within(1_500, () -> worker.begun().size() > 1)).isFalse();
        platform.fakeStore().silenceWatches(false);
        assertThat(TestJobs.within(500, () -> worker.begun().size() > 1)).isFalse();
    }

    @Test
    void aJobThatIsOverIsNotStartedByTheNextOwner() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        JobRecord over = TestJobs.job(TestJobs.ID, ONE).toTombstone();
        platform.store()
                .commit(new StoreTransaction().put(JobKeys.job(TestJobs.ID), JobCodec.writeRecord(over)));
        beginTerm();
        assertThat(TestJobs.within(1_000, () -> !worker.begun().isEmpty())).isFalse();
        assertThat(TestJobs.within(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
    }

    @Test
    void theRecordsOfAJobAreRemovedSomeTimeAfterItIsOver() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(3_000, () -> state() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(1_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isFalse();
        assertThat(TestJobs.within(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
        assertThat(platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).isEmpty()).isTrue();
    }

    @Test
    void theRecordsOfAJobThatWasCancelledDuringAStartThatIsTurnedAwayAreRemoved() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.turnAwayAndHoldStarts();
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> worker.startsAsked() == 1)).isTrue();
        cancel();
        assertThat(TestJobs.within(3_000, () -> state() == JobState.CANCELLED)).isTrue();
        worker.letStartsGo();
        assertThat(TestJobs.within(9_000, () -> platform.fakeStore().get(JobKeys.job(TestJobs.ID)).isEmpty()))
                .isTrue();
    }

    @Test
    void anEndThatNoEarlierOwnerWroteIsKnownToTheNextOne() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        accept(ONE);
        recordRunningOn("w1", 1);
        worker.runs(TASK, 1);
        worker.end(TASK, RunEnd.DONE);
        beginTerm();
        assertThat(TestJobs.within(3_000, () -> state() == JobState.COMPLETED)).isTrue();
        assertThat(worker.begun()).isEmpty();
    }

    @Test
    void aCancellationReadBeforeTheWorkersAreKnownStopsWhatRuns() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        accept(ONE);
        recordRunningOn("w1", 1);
        worker.runs(TASK, 1);
        cancel();
        beginTerm();
        assertThat(TestJobs.within(4_000, () -> worker.stopped().contains(TASK))).isTrue();
        assertThat(TestJobs.within(3_000, () -> state() == JobState.CANCELLED)).isTrue();
    }

    @Test
    void whatAnEarlierOwnerRecordedAndNeverSentIsStartedAsTheNextRun() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        accept(ONE);
        recordRunningOn("w1", 1);
        beginTerm();
        assertThat(TestJobs.within(3_000, () -> worker.begun().equals(List.of(TASK + "/2")))).isTrue();
    }

    @Test
    void whatMayRunOnAWorkerThatIsNotListedIsNotStartedElsewhere() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w2");
        accept(ONE);
        recordRunningOn("w1", 1);
        beginTerm();
        assertThat(TestJobs.within(1_500, () -> !worker.begun().isEmpty())).isFalse();
    }

    @Test
    void aStartThatArrivesAfterItsStopDoesNothing() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.loseStarts(3);
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(6_000, () -> worker.begun().equals(List.of(TASK + "/2")))).isTrue();
        assertThat(worker.arriveLate()).isEqualTo(CommandResult.OLD_RUN);
        assertThat(worker.begun()).containsExactly(TASK + "/2");
    }

    @Test
    void runsOfALifeThatIsOverStartAgainElsewhere() throws InterruptedException
    {
        FakeWorker first = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> !first.begun().isEmpty())).isTrue();
        FakeWorker second = platform.addWorker("w2");
        first.endLife();
        assertThat(TestJobs.within(4_000, () -> second.begun().equals(List.of(TASK + "/2")))).isTrue();
    }

    @Test
    void whileTheStoreIsDownEndsStayOpenAndAreWrittenAfterwards() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        platform.fakeStore().setDown(true);
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(1_500, () -> worker.unnoted() == 0)).isFalse();
        platform.fakeStore().setDown(false);
        assertThat(TestJobs.within(3_000, () -> state() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(3_000, () -> worker.unnoted() == 0)).isTrue();
    }

    private boolean isEndRead()
    {
        return events.since(0).stream().anyMatch(event -> event.name().equals(EventType.RUN_ENDED.name()));
    }

    /**
     * A run ended well while the store took no progress, so its end stayed open. The worker's entry
     * went from the store and came back, and a new session took the place of the one that waited for
     * the write. The worker listed the end once more, to an owner that held the task for done: nothing
     * changed, nothing was to be written, and the end was taken note of. Then the owner was replaced;
     * its successor found the end neither in the store nor at the worker and started the task again.
     */
    @Test
    void anEndStaysOpenUntilItIsWrittenAlsoWhereANewSessionListsIt() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        platform.fakeStore().loseWritesOf(JobKeys.PROGRESS);
        worker.end(TASK, RunEnd.DONE);
        assertThat(TestJobs.within(3_000, this::isEndRead)).isTrue();
        platform.unlist("w1");
        assertThat(TestJobs.within(3_000, worker::isClosed)).isTrue();
        platform.list("w1");
        assertThat(TestJobs.within(2_500, () -> worker.unnoted() == 0)).isFalse();
        platform.fakeStore().loseWritesOf(null);
        assertThat(TestJobs.within(3_000, () -> state() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(3_000, () -> worker.unnoted() == 0)).isTrue();
    }

    /**
     * The end of one member stands for its gang. Another member's end changed nothing any more and was
     * taken note of at once, although the store had the progress of neither. Had the first member's
     * worker died then, no later owner could have known that the gang was done.
     */
    @Test
    void theEndsOfAllMembersOfAGangStayOpenUntilItIsWritten() throws InterruptedException
    {
        FakeWorker first = platform.addWorker("w1");
        FakeWorker second = platform.addWorker("w2");
        beginTerm();
        accept(TestJobs.gang(2, 10_000));
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
        assertThat(TestJobs.within(3_000, () -> state() == JobState.COMPLETED)).isTrue();
        assertThat(TestJobs.within(3_000, () -> first.unnoted() + second.unnoted() == 0)).isTrue();
    }

    @Test
    void nothingIsStartedOnAWorkerThatDoesNotAnswerLooks() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        OwnerLease lease = beginTerm();
        Thread.sleep(300);
        worker.setSilent(true);
        Thread.sleep(5_000);
        accept(ONE);
        assertThat(TestJobs.within(2_000, () -> worker.startsAsked() > 0)).isFalse();
        worker.setSilent(false);
        boolean begun = TestJobs.within(5_000, () -> worker.begun().equals(List.of(TASK + "/1")));
        assertWithMessage(
                "begun " + worker.begun() + ", term over: " + lease.hasEnded() + ' ' + lease.reason())
                .that(begun).isTrue();
    }

    @Test
    void runsOfAWorkerThatStopsAnsweringStartElsewhereOnceItsLeaseIsOverAndNotBefore()
            throws InterruptedException
    {
        FakeWorker silent = platform.addWorker("w1");
        beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> !silent.begun().isEmpty())).isTrue();
        silent.setSilent(true);
        FakeWorker other = platform.addWorker("w2");
        assertThat(TestJobs.within(4_500, () -> !other.begun().isEmpty())).isFalse();
        assertThat(TestJobs.within(4_500, () -> other.begun().equals(List.of(TASK + "/2")))).isTrue();
    }

    @Test
    void anOwnerThatAWorkerFencesStops() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        OwnerLease lease = beginTerm();
        accept(ONE);
        assertThat(TestJobs.within(3_000, () -> !worker.begun().isEmpty())).isTrue();
        worker.stop("other", 1, Long.MAX_VALUE, 100);
        assertThat(lease.awaitEnd(4_000)).isTrue();
    }

    @Test
    void aStartWhoseTicketLapsedWhileItsPlacementWasWrittenIsDecidedAnew() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        platform.answerAdvice((step, ids,
                timeout) -> new Advice(ids.stream().map(id -> new Ticket(id, "ticket")).toList(), 500));
        platform.fakeStore().afterNextCommitOf(JobKeys.PROGRESS, () -> Thread.sleep(700));
        beginTerm();
        acceptAdvised(ONE);
        assertThat(TestJobs.within(5_000, () -> !worker.begun().isEmpty())).isTrue();
        assertThat(worker.begun()).containsExactly(TASK + "/2");
        assertThat(worker.startsAsked()).isEqualTo(1);
    }

    /**
     * Another task of the step waits, so its tickets are kept fresh while the placement is written. The
     * start was sent because there was a valid ticket, but it carried the one that had lapsed.
     */
    @Test
    void aStartCarriesTheTicketThatIsValidWhenItIsSent() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        AtomicInteger calls = new AtomicInteger();
        platform.answerAdvice((step, ids, timeout) ->
        {
            String text = "ticket-" + calls.incrementAndGet();
            return new Advice(ids.stream().map(id -> new Ticket(id, text)).toList(), 500);
        });
        platform.fakeStore().afterNextCommitOf(JobKeys.PROGRESS, () -> Thread.sleep(700));
        beginTerm();
        acceptAdvised(TestJobs.step(2, 10_000, List.of()));
        assertThat(TestJobs.within(5_000, () -> worker.startsAsked() > 0)).isTrue();
        assertThat(calls.get()).isGreaterThan(1);
        assertThat(worker.newestTicket()).isNotEqualTo("ticket-1");
    }
}
