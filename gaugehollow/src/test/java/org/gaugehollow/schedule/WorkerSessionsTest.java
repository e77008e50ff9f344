/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Workers whose entries another writer spoils, and a job whose progress cannot be read. */
@Execution(ExecutionMode.CONCURRENT)
class WorkerSessionsTest
{
    private static final String FIRST_JOB = "00000000000000a1";
    private static final String SECOND_JOB = "00000000000000a2";
    private static final String FIRST_TASK = FIRST_JOB + ".0.0.0";
    private static final String SECOND_TASK = SECOND_JOB + ".0.0.0";
    private static final long SOON_MILLIS = 4_000;
    /** Longer than it takes to read the list of workers twice. */
    private static final long READ_MILLIS = 1_800;

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker worker;
    private TestTerm term;

    @BeforeEach
    void begin() throws InterruptedException
    {
        worker = platform.addWorker("w1");
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void accept(String id) throws InterruptedException
    {
        platform.accept(TestJobs.job(id, TestJobs.step(1, 1_000, List.of())));
    }

    @Test
    void aWorkerWhoseEntryTurnsBadKeepsItsRunsAndGetsNothingNew() throws InterruptedException
    {
        term = new TestTerm(platform, "box");
        accept(FIRST_JOB);
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.isRunning(FIRST_TASK))).isTrue();
        platform.spoil("w1");
        Thread.sleep(READ_MILLIS);
        accept(SECOND_JOB);
        assertThat(TestJobs.within(READ_MILLIS, () -> worker.isRunning(SECOND_TASK))).isFalse();
        worker.end(FIRST_TASK, RunEnd.DONE);
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.unnoted() == 0)).isTrue();
        platform.list("w1");
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.isRunning(SECOND_TASK))).isTrue();
    }

    @Test
    void aBadEntryLeavesTheOtherWorkersAsTheyAre() throws InterruptedException
    {
        platform.spoil("w0");
        term = new TestTerm(platform, "box");
        accept(FIRST_JOB);
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.isRunning(FIRST_TASK))).isTrue();
    }

    /** What of such a job runs is not known, so nothing of it is started; the others go on. */
    @Test
    void aJobWhoseProgressCannotBeReadIsLeftAlone() throws InterruptedException
    {
        accept(FIRST_JOB);
        accept(SECOND_JOB);
        platform.store().commit(new StoreTransaction().put(JobKeys.progress(FIRST_JOB), new byte[]{'{'}));
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.isRunning(SECOND_TASK))).isTrue();
        assertThat(worker.isRunning(FIRST_TASK)).isFalse();
    }
}
