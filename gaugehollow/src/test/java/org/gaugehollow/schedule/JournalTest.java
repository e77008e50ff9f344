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

/** Tests writes of progress with lost answers, late writes and a newer owner. */
class JournalTest
{
    private static final byte[] TERM = "term".getBytes(StandardCharsets.UTF_8);
    /** Maximum number of writes in a transaction of the platform's store. */
    private static final int MAX_TRANSACTION_WRITES = 32;
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final byte[] OTHER = "other".getBytes(StandardCharsets.UTF_8);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final LateStore store = new LateStore();
    private final CellState cellState = new CellState(SteadyClock::nanos, 0);
    private final Supervisor supervisor = new Supervisor("test", events);
    private OwnerLease owner;
    private Journal journal;

    @BeforeEach
    void beginTerm() throws InterruptedException
    {
        long revision = store.commit(new StoreTransaction().require(JobKeys.OWNER, 0).put(JobKeys.OWNER, TERM)
                .put(JobKeys.JOURNAL, TERM)).orElseThrow();
        owner = new OwnerLease("box", revision, 1, OwnerLease.UNKNOWN_FENCE, SteadyClock.nanos());
        journal = new Journal(store, cellState, owner,
                new EarlierLeases(PreviousTerm.NONE, new FakeOtherBoxes(), 1), events);
        supervisor.start("journal", journal);
    }

    @AfterEach
    void stop()
    {
        supervisor.close();
    }

    private static Job newJob()
    {
        return new Job(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1, List.of())), 1);
    }

    private boolean isWritten(Job job) throws InterruptedException
    {
        CountDownLatch written = new CountDownLatch(1);
        journal.enqueue(List.of(job), written::countDown);
        return written.await(2, TimeUnit.SECONDS);
    }

    private JobState storedState()
    {
        return JobCodec.readProgress(store.get(JobKeys.progress(TestJobs.ID)).orElseThrow().value()).state();
    }

    @Test
    void progressIsReportedAsWrittenOnceStored() throws InterruptedException
    {
        Job job = newJob();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(storedState()).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void writeWithLostAnswerIsRepeated() throws InterruptedException
    {
        store.loseAnswers(1);
        assertThat(isWritten(newJob())).isTrue();
        assertThat(isWritten(newJob())).isTrue();
    }

    /** Guards against changes that are never written because a write of them failed unexpectedly. */
    @Test
    void writeIsRepeatedAfterAnUnexpectedFailure() throws InterruptedException
    {
        store.afterNextCommit(() ->
        {
            throw new IllegalStateException("unexpected");
        });
        Job job = newJob();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(storedState()).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void lateWriteCannotOverwriteNewerOne() throws InterruptedException
    {
        Job job = newJob();
        assertThat(isWritten(job)).isTrue();
        long before = store.get(JobKeys.JOURNAL).orElseThrow().modRevision();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(store.commit(new StoreTransaction().require(JobKeys.JOURNAL, before)
                .put(JobKeys.progress(TestJobs.ID), OTHER))).isEmpty();
    }

    /**
     * Guards against treating a write as failed because its retry was rejected, while the first attempt
     * still takes effect later.
     */
    @Test
    void rejectedRetryDoesNotHideLateWrite() throws InterruptedException
    {
        Job job = newJob();
        store.delayNextWriteOf(JobKeys.JOURNAL);
        assertThat(isWritten(job)).isTrue();
        job.setState(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        store.awaitLateWrite();
        assertThat(storedState()).isEqualTo(JobState.COMPLETED);
        assertThat(isWritten(job)).isTrue();
        assertThat(owner.hasEnded()).isFalse();
    }

    @Test
    void replacedOwnerWritesNothing() throws InterruptedException
    {
        assertThat(isWritten(newJob())).isTrue();
        store.commit(new StoreTransaction().put(JobKeys.OWNER, OTHER).put(JobKeys.JOURNAL, OTHER));
        Job late = newJob();
        late.setState(JobState.FAILED);
        CountDownLatch written = new CountDownLatch(1);
        journal.enqueue(List.of(late), written::countDown);
        assertThat(owner.awaitEnd(2_000)).isTrue();
        assertThat(written.await(100, TimeUnit.MILLISECONDS)).isFalse();
        assertThat(storedState()).isEqualTo(JobState.QUEUED);
    }

    @Test
    void nothingIsReportedAsWrittenWhileStoreIsDown() throws InterruptedException
    {
        store.setDown(true);
        CountDownLatch written = new CountDownLatch(1);
        journal.enqueue(List.of(newJob()), written::countDown);
        assertThat(written.await(200, TimeUnit.MILLISECONDS)).isFalse();
        store.setDown(false);
        assertThat(written.await(2, TimeUnit.SECONDS)).isTrue();
    }

    /**
     * Guards against dropping a job whose end is not stored yet: its run ends would be acknowledged as
     * those of an unknown job.
     */
    @Test
    void jobThatEndsDuringWriteIsKeptUntilItsEndIsWritten() throws InterruptedException
    {
        JobRecord record = TestJobs.job(TestJobs.ID, TestJobs.step(1, 1, List.of()));
        Job job;
        synchronized (cellState)
        {
            cellState.accept(record, 1, null, 0);
            job = cellState.findTask(TASK).step().job();
        }
        List<Job> changed = new ArrayList<>();
        store.afterNextCommit(() ->
        {
            synchronized (cellState)
            {
                changed.addAll(
                        cellState.cancel(TestJobs.ID, new Cancellation(TestJobs.QUEUE.name())).changedJobs());
            }
        });
        assertThat(isWritten(job)).isTrue();
        assertThat(changed).containsExactly(job);
        assertThat(storedState()).isEqualTo(JobState.QUEUED);
        assertThat(isKnown()).isTrue();
        assertThat(isWritten(job)).isTrue();
        assertThat(storedState()).isEqualTo(JobState.CANCELLED);
        assertThat(isKnown()).isFalse();
    }

    private boolean isKnown()
    {
        synchronized (cellState)
        {
            return cellState.findTask(TASK) != null;
        }
    }

    @Test
    void storeThatIsDownReportsStoreUnavailable()
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
        throw new AssertionError("a store that is down returned a value");
    }

    private JobRecord storedRecord()
    {
        return JobCodec.readRecord(store.get(JobKeys.job(TestJobs.ID)).orElseThrow().value());
    }

    @Test
    void recordOfFinishedJobIsReplacedByTombstone() throws InterruptedException
    {
        Job job = newJob();
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
    void manyFinishedJobsAreWrittenWithinTransactionLimit() throws InterruptedException
    {
        List<Job> jobs = IntStream.range(0, 40)
                .mapToObj(i -> new Job(TestJobs.job("job-" + i, TestJobs.step(1, 1, List.of())), 1)).toList();
        jobs.forEach(job -> job.setState(JobState.COMPLETED));
        CountDownLatch written = new CountDownLatch(1);
        journal.enqueue(jobs, written::countDown);
        assertThat(written.await(2, TimeUnit.SECONDS)).isTrue();
        for (Job job : jobs)
        {
            byte[] record = store.get(JobKeys.job(job.id())).orElseThrow().value();
            assertThat(JobCodec.readRecord(record).hasEnded()).isTrue();
        }
        assertThat(store.largestTransaction()).isAtMost(MAX_TRANSACTION_WRITES);
    }
}
