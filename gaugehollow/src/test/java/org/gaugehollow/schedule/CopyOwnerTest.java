/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards copies against lost commands and a replaced owner, with the commands that are sent. */
class CopyOwnerTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final int ALL = Integer.MAX_VALUE;
    private static final long TIMEOUT_MILLIS = 4_000;
    /** A small task, so that a copy fits into the share of the cell that copies may use. */
    private static final StepSpec SPECULATIVE = new StepSpec(1, 100, 100, 0, 800, List.of(), false, false,
            false, null, null, 0, true, false, null, 0, false, 0);

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker first;
    private FakeWorker second;
    private TestTerm term;

    /** Starts a task on a worker that leaves its commands unanswered, and adds another worker. */
    @BeforeEach
    void startUnanswered() throws InterruptedException
    {
        first = platform.addWorker("w1");
        first.loseStarts(ALL);
        first.loseStops(ALL);
        term = new TestTerm(platform, "box");
        platform.accept(new JobRecord(TestJobs.ID, CopyCell.QUEUE,
                new JobSpec("text", List.of(SPECULATIVE), 0, 0, 0), System.currentTimeMillis()));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> first.startCount() > 0)).isTrue();
        second = platform.addWorker("w2");
        assertThat(
                TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.startedRuns().equals(List.of(TASK + "/2"))))
                .isTrue();
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void endCopy() throws InterruptedException
    {
        second.endRun(TASK, RunEnd.DONE);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> storedState() == JobState.COMPLETED)).isTrue();
    }

    private JobState storedState()
    {
        return JobCodec
                .readProgress(platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).orElseThrow().value())
                .state();
    }

    /** Guards against a job that waits for a worker whose answers are lost, and a run nobody stops. */
    @Test
    void lateStartOfTheFirstRunIsStoppedAfterTheCopyWon() throws InterruptedException
    {
        endCopy();
        first.deliverLostStart();
        assertThat(first.isRunning(TASK)).isTrue();
        first.loseStops(0);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> !first.isRunning(TASK))).isTrue();
        assertThat(first.startedRuns()).containsExactly(TASK + "/1");
        assertThat(second.startedRuns()).containsExactly(TASK + "/2");
    }

    /** Guards against an owner that stops the copy of an earlier one or does not stop the loser. */
    @Test
    void nextOwnerKeepsBothRunsUntilOneEnds() throws InterruptedException
    {
        first.deliverLostStart();
        term.close();
        term = new TestTerm(platform, "other");
        int heartbeats = second.heartbeatCount();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> second.heartbeatCount() > heartbeats + 1))
                .isTrue();
        assertThat(second.isRunning(TASK)).isTrue();
        first.loseStops(0);
        endCopy();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> !first.isRunning(TASK))).isTrue();
    }
}
