/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.Cancellation;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Writes of progress under lost answers, late writes and a newer owner. */
class JournalTest
{
    private static final byte[] TERM = "term".getBytes(StandardCharsets.UTF_8);
    /** What the platform's store takes at once. */
    private static final int MOST_ENTRIES = 32;
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final byte[] OTHER = "other".getBytes(StandardCharsets.UTF_8);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final LateStore store = new LateStore();
    private final CellState ledger = new CellState(SteadyClock::nanos, 0);
    private final Supervisor supervisor = new Supervisor("test", events);
    private OwnerLease owner;
    private Journal journal;

    @BeforeEach
    void own() throws InterruptedException
    {
        long revision = store.commit(new StoreTransaction().require(JobKeys.OWNER, 0).put(JobKeys.OWNER, TERM)
                .put(JobKeys.JOURNAL, TERM)).orElseThrow();
        owner = new OwnerLease("box", revision, 1, OwnerLease.UNKNOWN_FENCE);
        journal = new Journal(store, ledger, owner, events);
        supervisor.start("journal", journal);
    }

    @AfterEach
    void stop()
    {
        supervisor.close();
    }

    private static Job job()
    {
        return new Job(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1, List.of())), 1);
    }

    private boolean isWritten(Job job) throws InterruptedException
    {
        CountDownLatch written = new CountDownLatch(1);
        journal.mark(List.of(job), written::countDown);
        return written.await(2, TimeUnit.SECONDS);
    }

    private JobState stored()
    {
        return JobCodec.readProgress(store.get(JobKeys.progress(TestJobs.ID)).orElseThrow().value()).state();
    }

    @Test
    void progressIsReportedAsWrittenOnceTheStoreHasIt() throws InterruptedException
    {
        Job job = job();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(stored()).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aWriteWhoseAnswerWasLostIsWrittenAgain() throws InterruptedException
    {
        store.loseAnswers(1);
        assertThat(isWritten(job())).isTrue();
        assertThat(isWritten(job())).isTrue();
    }

    @Test
    void aWriteThatTakesEffectLateCannotUndoANewerOne() throws InterruptedException
    {
        Job job = job();
        assertThat(isWritten(job)).isTrue();
        long before = store.get(JobKeys.JOURNAL).orElseThrow().modRevision();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(store.commit(new StoreTransaction().require(JobKeys.JOURNAL, before)
                .put(JobKeys.progress(TestJobs.ID), OTHER))).isEmpty();
    }

    /**
     * One try is turned away while the one before it is open; the latter must not undo what follows.
     */
    @Test
    void aWriteThatWasTurnedAwayOnceIsNotTakenForNotDone() throws InterruptedException
    {
        Job job = job();
        store.holdNextWriteOf(JobKeys.JOURNAL);
        assertThat(isWritten(job)).isTrue();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        store.awaitCarriedOut();
        assertThat(stored()).isEqualTo(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(owner.hasEnded()).isFalse();
    }

    @Test
    void anOwnerThatWasReplacedWritesNothingMore() throws InterruptedException
    {
        assertThat(isWritten(job())).isTrue();
        store.commit(new StoreTransaction().put(JobKeys.OWNER, OTHER).put(JobKeys.JOURNAL, OTHER));
        Job late = job();
        late.setState(JobState.FAILED);
        CountDownLatch written = new CountDownLatch(1);
        journal.mark(List.of(late), written::countDown);
        assertThat(owner.awaitEnd(2_000)).isTrue();
        assertThat(written.await(100, TimeUnit.MILLISECONDS)).isFalse();
        assertThat(stored()).isEqualTo(JobState.QUEUED);
    }

    @Test
    void whileTheStoreIsDownNothingCountsAsWritten() throws InterruptedException
    {
        store.setDown(true);
        CountDownLatch written = new CountDownLatch(1);
        journal.mark(List.of(job()), written::countDown);
        assertThat(written.await(200, TimeUnit.MILLISECONDS)).isFalse();
        store.setDown(false);
        assertThat(written.await(2, TimeUnit.SECONDS)).isTrue();
    }

    /**
     * A job was cancelled while a write of its progress from before was under way. When that write was
     * through the job was over, and it was dropped although the store did not know of its end yet. Ends
     * of its runs that workers listed then were ends of an unknown job, and were taken note of at once.
     */
    @Test
    void aJobThatCameToItsEndDuringAWriteIsKeptUntilThatIsWrittenToo() throws InterruptedException
    {
        JobRecord record = TestJobs.job(TestJobs.ID, TestJobs.step(1, 1, List.of()));
        Job job;
        synchronized (ledger)
        {
            ledger.accept(record, 1, null, 0);
            job = ledger.find(TASK).step().job();
        }
        List<Job> changed = new ArrayList<>();
        store.afterNextCommit(() ->
        {
            synchronized (ledger)
            {
                changed.addAll(ledger.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name())).changed());
            }
        });
        assertThat(isWritten(job)).isTrue();
        assertThat(changed).containsExactly(job);
        assertThat(stored()).isEqualTo(JobState.QUEUED);
        assertThat(isKnown()).isTrue();
        assertThat(isWritten(job)).isTrue();
        assertThat(stored()).isEqualTo(JobState.CANCELLED);
        assertThat(isKnown()).isFalse();
    }

    private boolean isKnown()
    {
        synchronized (ledger)
        {
            return ledger.find(TASK) != null;
        }
    }

    @Test
    void theStoreSaysWhyItDidNotWrite()
    {
        store.setDown(true);
        try
        {
            store.get(JobKeys.JOURNAL);
        }
        catch (GaugehollowException e)
        {
            assertThat(e.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
            return;
        }
        throw new AssertionError("a store that is down answered");
    }

    private JobRecord storedRecord()
    {
        return JobCodec.readRecord(store.get(JobKeys.job(TestJobs.ID)).orElseThrow().value());
    }

    @Test
    void theRecordOfAJobThatIsOverMakesRoomForAShortOne() throws InterruptedException
    {
        Job job = job();
        byte[] whole = JobCodec.writeRecord(job.record());
        store.commit(new StoreTransaction().put(JobKeys.job(job.id()), whole));
        assertThat(isWritten(job)).isTrue();
        assertThat(storedRecord().hasEnded()).isFalse();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(storedRecord().hasEnded()).isTrue();
        assertThat(storedRecord().queue().name()).isEqualTo(job.record().queue().name());
        assertThat(store.get(JobKeys.job(TestJobs.ID)).orElseThrow().value().length)
                .isLessThan(whole.length / 2);
    }

    @Test
    void manyJobsThatEndTogetherAreWrittenInTransactionsThatTheStoreTakes() throws InterruptedException
    {
        List<Job> jobs = IntStream.range(0, 40)
                .mapToObj(i -> new Job(TestJobs.job("job-" + i, TestJobs.step(1, 1, List.of())), 1)).toList();
        jobs.forEach(job -> job.setState(JobState.COMPLETED));
        CountDownLatch written = new CountDownLatch(1);
        journal.mark(jobs, written::countDown);
        assertThat(written.await(2, TimeUnit.SECONDS)).isTrue();
        for (Job job : jobs)
        {
            byte[] record = store.get(JobKeys.job(job.id())).orElseThrow().value();
            assertThat(JobCodec.readRecord(record).hasEnded()).isTrue();
        }
        assertThat(store.largestTransaction()).isAtMost(MOST_ENTRIES);
    }
}
