/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.Cancellation;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.Json;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Tests the published counts of waiting jobs. */
@Execution(ExecutionMode.CONCURRENT)
class SummaryWriterTest
{
    private static final int TIMEOUT_MILLIS = 5_000;
    /** Time after which a held write fails with an unknown outcome. */
    private static final int HELD_MILLIS = 100;

    private final EventLog events = new EventLog("box", new HybridClock(System::currentTimeMillis));
    private final FakeStore store = new FakeStore();
    private final CellState cellState = new CellState(SteadyClock::nanos, 0);
    private long storeLease;
    private OwnerLease owner;
    private Thread writer;
    private int jobCount;

    @BeforeEach
    void acquire() throws InterruptedException
    {
        storeLease = store.grantLease(1_000);
        long revision = store.commit(new StoreTransaction().put(JobKeys.OWNER, new byte[]{'o'}, storeLease))
                .orElseThrow();
        owner = new OwnerLease("box", revision, storeLease, OwnerLease.UNKNOWN_FENCE, SteadyClock.nanos());
    }

    @AfterEach
    void stop() throws InterruptedException
    {
        owner.end("test");
        if (writer != null)
        {
            writer.join();
        }
    }

    private void startWriter()
    {
        writer = OwnerTerm.inBackground("summary", new SummaryWriter(store, cellState, owner, events)::run);
    }

    private void acceptJobs(int count)
    {
        synchronized (cellState)
        {
            for (int i = 0; i < count; i++)
            {
                jobCount++;
                cellState.accept(TestJobs.job(newestJobId(), TestJobs.bestEffort()), jobCount, null, 0);
            }
        }
    }

    private String newestJobId()
    {
        return String.format("%016x", jobCount);
    }

    private void cancelNewestJob()
    {
        synchronized (cellState)
        {
            cellState.cancel(newestJobId(), new Cancellation(TestJobs.QUEUE.name()));
        }
    }

    private static String text(byte[] value)
    {
        return new String(value, StandardCharsets.UTF_8);
    }

    private String storedCounts()
    {
        return store.get(JobKeys.SUMMARY).map(StoredValue::value).map(SummaryWriterTest::text).orElse("");
    }

    private String expectedCounts()
    {
        synchronized (cellState)
        {
            return text(Json.write(cellState.countQueuedJobs()));
        }
    }

    private boolean becomesCurrent() throws InterruptedException
    {
        return TestJobs.waitUntil(TIMEOUT_MILLIS, () -> storedCounts().equals(expectedCounts()));
    }

    @Test
    void countsAreRemovedWithOwnerLease() throws InterruptedException
    {
        startWriter();
        assertThat(becomesCurrent()).isTrue();
        owner.end("test");
        writer.join();
        store.revokeLease(storeLease);
        assertThat(store.get(JobKeys.SUMMARY)).isEmpty();
    }

    /** Guards against counts that stay too low, because a write done late replaced newer ones. */
    @Test
    void lateWriteDoesNotReplaceNewerCounts() throws InterruptedException
    {
        store.holdWrites(1, HELD_MILLIS);
        acceptJobs(1);
        startWriter();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, store::hasHeldWrites)).isTrue();
        acceptJobs(15);
        assertThat(becomesCurrent()).isTrue();
        store.deliverHeldWrites();
        assertThat(storedCounts()).isEqualTo(expectedCounts());
        acceptJobs(1);
        assertThat(becomesCurrent()).isTrue();
    }

    /** Guards against counts that stay wrong, because a write whose answer was lost took effect. */
    @Test
    void countsThatChangeBackAfterLostAnswerAreWrittenAgain() throws InterruptedException
    {
        acceptJobs(1);
        startWriter();
        assertThat(becomesCurrent()).isTrue();
        store.loseAnswers(1);
        acceptJobs(1);
        assertThat(becomesCurrent()).isTrue();
        cancelNewestJob();
        assertThat(becomesCurrent()).isTrue();
    }

    /** Guards against an owner that never replaces the counts of the one before. */
    @Test
    void countsOfPreviousOwnerAreReplaced() throws InterruptedException
    {
        store.commit(new StoreTransaction().put(JobKeys.SUMMARY, Json.write(List.of())));
        acceptJobs(2);
        startWriter();
        assertThat(becomesCurrent()).isTrue();
    }
}
