/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Rooms of workers that shrink and grow while they run. A placement is written before its start is
 * sent; where the store takes long for that, the room it was decided for may have shrunk meanwhile.
 * The start was sent all the same, and the worker held more than its room.
 */
@Execution(ExecutionMode.CONCURRENT)
class ShrinkingRoomTest
{
    private static final int TASKS = 4;
    private static final int TASK_CPU = 4_000;
    /** The room that is left, in processors: for two of the tasks. */
    private static final int SHRUNK = 8;
    private static final int WHOLE = 16;
    private static final int CPU_PER_PROCESSOR = 1_000;
    /** By then the list of workers has been read twice; a start would have been sent long before. */
    private static final long READ_MILLIS = 1_600;
    private static final long SOON_MILLIS = 4_000;

    /** A store that takes no progress until it is let go. */
    private static final class SlowStore extends FakeStore
    {
        private final CountDownLatch asked = new CountDownLatch(1);
        private volatile CountDownLatch letGo = new CountDownLatch(0);

        @Override
        public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
        {
            if (transaction.writes().stream().anyMatch(write -> write.key().startsWith(JobKeys.PROGRESS)))
            {
                asked.countDown();
                letGo.await();
            }
            return super.commit(transaction);
        }
    }

    private final SlowStore store = new SlowStore();
    private final FakePlatform platform = new FakePlatform(store);
    private FakeWorker worker;
    private TestTerm term;

    @BeforeEach
    void begin() throws InterruptedException
    {
        worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box");
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void accept() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(TASKS, TASK_CPU, List.of())));
    }

    /** The room of the worker as the owner knows it, in processors. */
    private int room()
    {
        CellState ledger = term.term().cellState();
        synchronized (ledger)
        {
            return ledger.worker("w1").map(slot -> slot.entry().capacity().cpuMillis()).orElse(0)
                    / CPU_PER_PROCESSOR;
        }
    }

    @Test
    void aStartThatWasDecidedForALargerRoomIsDecidedAnew() throws InterruptedException
    {
        store.letGo = new CountDownLatch(1);
        accept();
        store.asked.await();
        platform.resize("w1", SHRUNK);
        assertThat(TestJobs.within(SOON_MILLIS, () -> room() == SHRUNK)).isTrue();
        store.letGo.countDown();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.begun().size() > 0)).isTrue();
        assertThat(TestJobs.within(READ_MILLIS, () -> worker.begun().size() > 2)).isFalse();
        assertThat(worker.begun()).hasSize(2);
    }

    @Test
    void whatRunsGoesOnAndNothingNewBeginsUntilItFits() throws InterruptedException
    {
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.begun().size() == TASKS)).isTrue();
        platform.resize("w1", SHRUNK);
        assertThat(TestJobs.within(SOON_MILLIS, () -> room() == SHRUNK)).isTrue();
        platform.store().commit(new StoreTransaction().put(JobKeys.job("00000000000000bb"), JobCodec
                .writeRecord(TestJobs.job("00000000000000bb", TestJobs.step(1, TASK_CPU, List.of())))));
        worker.end(TestJobs.ID + ".0.0.0", RunEnd.DONE);
        worker.end(TestJobs.ID + ".0.0.1", RunEnd.DONE);
        assertThat(TestJobs.within(READ_MILLIS, () -> worker.isRunning("00000000000000bb.0.0.0"))).isFalse();
        assertThat(worker.stopped()).isEmpty();
        worker.end(TestJobs.ID + ".0.0.2", RunEnd.DONE);
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.isRunning("00000000000000bb.0.0.0"))).isTrue();
    }

    @Test
    void roomThatHasGrownIsUsed() throws InterruptedException
    {
        platform.resize("w1", SHRUNK);
        assertThat(TestJobs.within(SOON_MILLIS, () -> room() == SHRUNK)).isTrue();
        accept();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.begun().size() == 2)).isTrue();
        platform.resize("w1", WHOLE);
        assertThat(TestJobs.within(READ_MILLIS, () -> worker.begun().size() == TASKS)).isTrue();
    }
}
