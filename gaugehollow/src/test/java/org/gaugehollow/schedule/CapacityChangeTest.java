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
 * Guards against starts that exceed a worker's capacity because it shrank between planning and
 * sending.
 */
@Execution(ExecutionMode.CONCURRENT)
class CapacityChangeTest
{
    private static final int TASKS = 4;
    private static final int TASK_CPU = 4_000;
    /** Reduced capacity in CPUs; fits two of the tasks. */
    private static final int SHRUNK_CPUS = 8;
    private static final int FULL_CPUS = 16;
    private static final int MILLIS_PER_CPU = 1_000;
    /** Long enough for two reads of the worker roster; a start would be sent long before. */
    private static final long ROSTER_READ_MILLIS = 1_600;
    private static final long TIMEOUT_MILLIS = 4_000;

    /** Store that blocks writes of progress until released. */
    private static final class BlockingStore extends FakeStore
    {
        private final CountDownLatch commitRequested = new CountDownLatch(1);
        private volatile CountDownLatch released = new CountDownLatch(0);

        @Override
        public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
        {
            if (transaction.writes().stream().anyMatch(write -> write.key().startsWith(JobKeys.PROGRESS)))
            {
                commitRequested.countDown();
                released.await();
            }
            return super.commit(transaction);
        }
    }

    private final BlockingStore store = new BlockingStore();
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

    /** Returns the worker's capacity as known to the owner, in CPUs. */
    private int capacityCpus()
    {
        CellState cellState = term.term().cellState();
        synchronized (cellState)
        {
            return cellState.findWorker("w1").map(tracked -> tracked.entry().capacity().cpuMillis()).orElse(0)
                    / MILLIS_PER_CPU;
        }
    }

    @Test
    void startDecidedForLargerCapacityIsPlannedAgain() throws InterruptedException
    {
        store.released = new CountDownLatch(1);
        accept();
        store.commitRequested.await();
        platform.resize("w1", SHRUNK_CPUS);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> capacityCpus() == SHRUNK_CPUS)).isTrue();
        store.released.countDown();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startedRuns().size() > 0)).isTrue();
        assertThat(TestJobs.waitUntil(ROSTER_READ_MILLIS, () -> worker.startedRuns().size() > 2)).isFalse();
        assertThat(worker.startedRuns()).hasSize(2);
    }

    @Test
    void runningTasksContinueAndNewOnesWaitUntilTheyFit() throws InterruptedException
    {
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startedRuns().size() == TASKS)).isTrue();
        platform.resize("w1", SHRUNK_CPUS);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> capacityCpus() == SHRUNK_CPUS)).isTrue();
        platform.store().commit(new StoreTransaction().put(JobKeys.job("00000000000000bb"), JobCodec
                .writeRecord(TestJobs.job("00000000000000bb", TestJobs.step(1, TASK_CPU, List.of())))));
        worker.endRun(TestJobs.ID + ".0.0.0", RunEnd.DONE);
        worker.endRun(TestJobs.ID + ".0.0.1", RunEnd.DONE);
        assertThat(TestJobs.waitUntil(ROSTER_READ_MILLIS, () -> worker.isRunning("00000000000000bb.0.0.0")))
                .isFalse();
        assertThat(worker.stoppedTasks()).isEmpty();
        worker.endRun(TestJobs.ID + ".0.0.2", RunEnd.DONE);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning("00000000000000bb.0.0.0")))
                .isTrue();
    }

    @Test
    void increasedCapacityIsUsed() throws InterruptedException
    {
        platform.resize("w1", SHRUNK_CPUS);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> capacityCpus() == SHRUNK_CPUS)).isTrue();
        accept();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startedRuns().size() == 2)).isTrue();
        platform.resize("w1", FULL_CPUS);
        assertThat(TestJobs.waitUntil(ROSTER_READ_MILLIS, () -> worker.startedRuns().size() == TASKS))
                .isTrue();
    }
}
