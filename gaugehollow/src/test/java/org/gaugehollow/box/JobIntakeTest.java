/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Guards against lost, duplicated or wrongly reported jobs when store replies are lost. */
class JobIntakeTest
{
    private static final String ID = "00000000000000aa";
    private static final String OTHER_ID = "00000000000000bb";
    private static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5, null);
    private static final QueueSpec OTHER_QUEUE = new QueueSpec("batch", "service", 2, 2, 250, 1.5, null);
    private static final JobSpec JOB = new JobSpec("text", List.of(new StepSpec(1, 1, 1, 0, 1, List.of(),
            false, false, false, null, null, 0, false, false, null, 0, false, 0)), 0, 0, 0);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final Metrics metrics = new Metrics();
    private final FakeStore store = new FakeStore();
    private final List<String> written = new ArrayList<>();
    private final List<String> cancelled = new ArrayList<>();
    private final JobListener listener = new JobListener()
    {
        @Override
        public void onJobWritten(String job)
        {
            written.add(job);
        }

        @Override
        public void onJobCancelled(String job)
        {
            cancelled.add(job);
        }
    };
    private final JobIntake box = new JobIntake(monitoredStore(), listener, events, metrics);
    private final JobIntake otherBox = new JobIntake(monitoredStore(), listener, events, metrics);

    private MonitoredStore monitoredStore()
    {
        return new MonitoredStore(store, events, SteadyClock::nanos);
    }

    private static long deadlineIn(long millis)
    {
        return SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static ResultCode codeOf(ThrowingCall call)
    {
        return assertThrows(GaugehollowException.class, call::run).code();
    }

    /** A call that is expected to fail. */
    private interface ThrowingCall
    {
        void run() throws InterruptedException;
    }

    @Test
    void acceptedJobIsVisibleOnEveryBox() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(otherBox.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void listenerIsNotifiedOnlyOfAcceptedJobs() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(written).containsExactly(ID);
        store.setDown(true);
        codeOf(() -> box.submit(JobScope.of(QUEUE), OTHER_ID, JOB, deadlineIn(1_000)));
        assertThat(written).containsExactly(ID);
    }

    @Test
    void sameIdOnTwoBoxesCreatesOneJob() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        otherBox.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(store.list(JobKeys.JOBS).values()).hasSize(1);
        assertThat(store.get(JobKeys.job(ID)).orElseThrow().modRevision()).isEqualTo(2);
    }

    @Test
    void idOfEndedJobCannotBeReused() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        JobRecord tombstone = JobCodec.readRecord(store.get(JobKeys.job(ID)).orElseThrow().value())
                .toTombstone();
        store.commit(new StoreTransaction().put(JobKeys.job(ID), JobCodec.writeRecord(tombstone)).put(
                JobKeys.progress(ID),
                JobCodec.writeProgress(new JobProgress(QUEUE.name(), JobState.COMPLETED, null))));
        otherBox.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(JobCodec.readRecord(store.get(JobKeys.job(ID)).orElseThrow().value()).hasEnded()).isTrue();
        assertThat(otherBox.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.COMPLETED);
        otherBox.cancel(JobScope.of(QUEUE), ID, deadlineIn(1_000));
        assertThat(otherBox.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.COMPLETED);
        assertThat(codeOf(() -> box.state(JobScope.of(OTHER_QUEUE), ID))).isEqualTo(ResultCode.UNKNOWN_JOB);
    }

    @Test
    void lostAnswerIsResolvedByRetryingTheWrite() throws InterruptedException
    {
        store.loseAnswers(1);
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(box.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void unknownOutcomeIsNotReportedAsNotRun()
    {
        store.loseAnswers(1_000);
        assertThat(codeOf(() -> box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(400))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(ResultCode.STORE_OUTCOME_UNKNOWN.httpStatus()).isEqualTo(504);
    }

    @Test
    void retriesEndWithUnknownOutcomeOnceStoreIsUnresponsive()
    {
        store.loseAnswers(1_000);
        long startNanos = SteadyClock.nanos();
        assertThat(codeOf(() -> box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(10_000))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(SteadyClock.nanos() - startNanos).isLessThan(TimeUnit.MILLISECONDS.toNanos(3_000));
    }

    @Test
    void submissionFailsAtOnceWithRetryAfterWhileStoreIsDown()
    {
        store.setDown(true);
        long startNanos = SteadyClock.nanos();
        assertThat(codeOf(() -> box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(3_000))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(SteadyClock.nanos() - startNanos).isLessThan(TimeUnit.MILLISECONDS.toNanos(1_000));
        assertThat(ResultCode.STORE_UNAVAILABLE.retryAfterMillis()).isGreaterThan(0);
    }

    @Test
    void jobOfAnotherQueueIsUnknown() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(codeOf(() -> box.state(JobScope.of(OTHER_QUEUE), ID))).isEqualTo(ResultCode.UNKNOWN_JOB);
        assertThat(codeOf(() -> box.cancel(JobScope.of(OTHER_QUEUE), ID, deadlineIn(1_000))))
                .isEqualTo(ResultCode.UNKNOWN_JOB);
    }

    @Test
    void cancelledJobIsReportedAsCancelledUnlessItHadEnded() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        box.cancel(JobScope.of(QUEUE), ID, deadlineIn(1_000));
        assertThat(otherBox.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.CANCELLED);
        store.commit(new StoreTransaction().put(JobKeys.progress(ID),
                Json.write(new JobProgress(QUEUE.name(), JobState.COMPLETED, null))));
        assertThat(otherBox.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.COMPLETED);
        assertThat(codeOf(() -> box.state(JobScope.of(OTHER_QUEUE), ID))).isEqualTo(ResultCode.UNKNOWN_JOB);
    }

    @Test
    void unresponsiveStoreIsNotCalledUntilItAnswersAgain() throws InterruptedException
    {
        AtomicLong clock = new AtomicLong();
        MonitoredStore monitored = new MonitoredStore(store, events, clock::get);
        JobIntake intake = new JobIntake(monitored, listener, events, metrics);
        clock.addAndGet(TimeUnit.SECONDS.toNanos(1));
        store.setDown(true);
        for (int i = 0; i < 2; i++)
        {
            assertThat(codeOf(() -> intake.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000))))
                    .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        }
        assertThat(monitored.isUnresponsive()).isTrue();
        store.setDown(false);
        assertThat(codeOf(() -> intake.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(store.commits()).isEqualTo(0);
        monitored.get("any");
        intake.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(store.commits()).isEqualTo(1);
    }

    @Test
    void callsAreCountedByResultCode() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(codeOf(() -> box.state(JobScope.of(OTHER_QUEUE), ID))).isEqualTo(ResultCode.UNKNOWN_JOB);
        String scraped = new String(metrics.scrape(), StandardCharsets.UTF_8);
        assertThat(scraped).contains("gaugehollow_job_calls_total{call=\"submit\",code=\"OK\"} 1.0");
        assertThat(scraped).contains("gaugehollow_job_calls_total{call=\"state\",code=\"UNKNOWN_JOB\"} 1.0");
        assertThat(scraped).contains("gaugehollow_job_call_seconds_count{call=\"submit\"} 1");
    }

    @Test
    void stateFailsWhileStoreIsDown() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        store.setDown(true);
        assertThat(codeOf(() -> box.state(JobScope.of(QUEUE), ID))).isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    private int pending(QueueSpec queue) throws InterruptedException
    {
        return box.pending(JobScope.of(queue), CellConfig.NONE);
    }

    @Test
    void pendingCountIsUnknownWithoutOwner() throws InterruptedException
    {
        assertThat(codeOf(() -> pending(QUEUE))).isEqualTo(ResultCode.COUNT_UNKNOWN);
        store.commit(new StoreTransaction().put(JobKeys.SUMMARY, Json.write(Map.of("urgent", 3))));
        assertThat(pending(QUEUE)).isEqualTo(3);
        assertThat(pending(OTHER_QUEUE)).isEqualTo(0);
    }

    /** Guards against running a job whose delayed record is written after its cancellation. */
    @Test
    void cancellationOfMissingJobAppliesToDelayedSubmission() throws InterruptedException
    {
        store.holdWrites(3, 100);
        assertThat(codeOf(() -> box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(200))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        store.holdWrites(0, 0);
        assertThat(codeOf(() -> otherBox.cancel(JobScope.of(QUEUE), ID, deadlineIn(1_000))))
                .isEqualTo(ResultCode.UNKNOWN_JOB);
        store.deliverHeldWrites();
        assertThat(store.get(JobKeys.job(ID))).isPresent();
        assertThat(otherBox.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.CANCELLED);
    }

    @Test
    void cancellationDoesNotAffectSameIdInAnotherQueue() throws InterruptedException
    {
        assertThat(codeOf(() -> box.cancel(JobScope.of(OTHER_QUEUE), ID, deadlineIn(1_000))))
                .isEqualTo(ResultCode.UNKNOWN_JOB);
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        assertThat(box.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.QUEUED);
        assertThat(codeOf(() -> box.cancel(JobScope.of(OTHER_QUEUE), ID, deadlineIn(1_000))))
                .isEqualTo(ResultCode.UNKNOWN_JOB);
        assertThat(box.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void listenerIsNotifiedOfCancellations() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        box.cancel(JobScope.of(QUEUE), ID, deadlineIn(1_000));
        assertThat(cancelled).containsExactly(ID);
    }

    /** Guards against redundant store calls. */
    @Test
    void cancellationListsTheRecordOnce() throws InterruptedException
    {
        AtomicInteger listings = new AtomicInteger();
        FakeStore counting = new FakeStore()
        {
            @Override
            public synchronized StoreListing list(String prefix)
            {
                listings.incrementAndGet();
                return super.list(prefix);
            }
        };
        JobIntake intake = new JobIntake(new MonitoredStore(counting, events, SteadyClock::nanos), listener,
                events, metrics);
        intake.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(1_000));
        listings.set(0);
        intake.cancel(JobScope.of(QUEUE), ID, deadlineIn(1_000));
        assertThat(listings.get()).isEqualTo(1);
    }
}
