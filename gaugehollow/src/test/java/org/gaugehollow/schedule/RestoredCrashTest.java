/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;

import org.gaugehollow.job.CrashHistory;
import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.CrashHistory.Crash;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.worker.WorkerIncarnation;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against counting possible crashes of workers that answer a later owner. */
@Execution(ExecutionMode.CONCURRENT)
class RestoredCrashTest
{
    private static final long TIMEOUT_MILLIS = 6_000;
    /** Covers several listings of the workers. */
    private static final long OBSERVED_MILLIS = 2_500;
    private static final byte START_TIME = 1;
    private static final List<String> WORKERS = List.of("w1", "w2", "w3");
    private static final String CRASHED_WORKER = "w4@1";

    private final LossyStore store = new LossyStore();
    private final FakePlatform platform = new FakePlatform(store);
    private TestTerm term;

    /** Store that can fail the next listing of a prefix. */
    private static final class LossyStore extends FakeStore
    {
        private String prefixToFail;

        synchronized void failNextListingOf(String prefix)
        {
            prefixToFail = prefix;
        }

        @Override
        public synchronized StoreListing list(String prefix)
        {
            if (prefix.equals(prefixToFail))
            {
                prefixToFail = null;
                throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "the listing fails");
            }
            return super.list(prefix);
        }
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void writeProgress(CrashHistory crashes) throws InterruptedException
    {
        TaskProgress task = new TaskProgress(WORKERS.size() + 1, 0, false, null, null, crashes, null);
        JobProgress progress = new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new RoundProgress(List.of(new StepProgress(List.of(task))))));
        platform.store().commit(
                new StoreTransaction().put(JobKeys.progress(TestJobs.ID), JobCodec.writeProgress(progress)));
    }

    private JobProgress storedProgress()
    {
        return JobCodec
                .readProgress(platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).orElseThrow().value());
    }

    private boolean hasFailed()
    {
        return storedProgress().state() == JobState.FAILED;
    }

    private List<Crash> storedCrashes()
    {
        CrashHistory crashes = storedProgress().rounds().getFirst().steps().getFirst().tasks().getFirst()
                .crashes();
        return crashes == null ? List.of() : crashes.crashes();
    }

    /** Three workers were cut off and answer the next owner; the fourth one has crashed. */
    @Test
    void nextOwnerStoresThatWorkersHaveNotCrashed() throws InterruptedException
    {
        CrashHistory crashes = CrashHistory.NONE.with(CRASHED_WORKER, Attribution.AT_START);
        for (String id : WORKERS)
        {
            platform.addIncarnation(id, START_TIME, new FakeWorker());
            crashes = crashes.with(new WorkerIncarnation(id, START_TIME).text(), Attribution.UNPROVEN);
        }
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)));
        writeProgress(crashes);
        term = new TestTerm(platform, "box");
        Crash proven = new Crash(CRASHED_WORKER, Attribution.AT_START);
        TestJobs.waitUntil(TIMEOUT_MILLIS, () -> storedCrashes().equals(List.of(proven)));
        assertThat(storedCrashes()).containsExactly(proven);
    }

    /** Writes a history of as many unproven crashes as confirm a poison task. */
    private void writeUnprovenCrashes() throws InterruptedException
    {
        CrashHistory crashes = CrashHistory.NONE;
        for (int i = 0; i < CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            crashes = crashes.with(workerId(i), Attribution.UNPROVEN);
        }
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.longRunning(1)));
        writeProgress(crashes);
    }

    private static String workerId(int index)
    {
        return "silent" + index;
    }

    /** The owner plans before it has read the list of workers. */
    @Test
    void nextOwnerKeepsTaskWhoseSilentWorkersAreListed() throws InterruptedException
    {
        writeUnprovenCrashes();
        for (int i = 0; i < CrashGuard.TOTAL_CRASH_THRESHOLD; i++)
        {
            platform.addWorker(workerId(i)).setUnresponsive(true);
        }
        store.failNextListingOf(platform.workerPrefix());
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(OBSERVED_MILLIS, this::hasFailed)).isFalse();
    }

    @Test
    void nextOwnerFailsTaskWhoseSilentWorkersAreGone() throws InterruptedException
    {
        writeUnprovenCrashes();
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, this::hasFailed)).isTrue();
    }
}
