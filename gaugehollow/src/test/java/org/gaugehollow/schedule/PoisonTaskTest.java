/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.platform.StoredValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against restarting a task that crashes its workers without limit. */
@Execution(ExecutionMode.CONCURRENT)
class PoisonTaskTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final int MACHINES = 4;
    /** Three crashes confirm a poison task; two more starts are tolerated. */
    private static final int MAX_STARTS = 5;
    /** Covers the consecutive expiry of three worker leases. */
    private static final long TIMEOUT_MILLIS = 24_000;
    private static final StepSpec SINGLE_TASK = TestJobs.step(1, 1_000, List.of());
    private static final StepSpec SPECULATIVE = new StepSpec(1, 1_000, 100, 0, 800, List.of(), false, false,
            false, null, null, 0, true, false, null, 0, false, 0);

    private final FakePlatform platform = new FakePlatform();
    private final List<FakeMachine> machines = new ArrayList<>();
    private TestTerm term;

    @BeforeEach
    void begin() throws InterruptedException
    {
        for (int i = 0; i < MACHINES; i++)
        {
            machines.add(new FakeMachine(platform, "m" + i, TASK::equals));
        }
        term = new TestTerm(platform, "box");
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void accept(StepSpec step) throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, step));
    }

    private JobState state()
    {
        return platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).map(StoredValue::value)
                .map(JobCodec::readProgress).map(JobProgress::state).orElse(JobState.QUEUED);
    }

    private int startCount()
    {
        return machines.stream().mapToInt(machine -> machine.startCount(TASK)).sum();
    }

    private boolean hasFailedOrStartedTooOften()
    {
        return state() == JobState.FAILED || startCount() > MAX_STARTS;
    }

    private void assertFailedAsPoison()
    {
        assertWithMessage("starts").that(startCount()).isAtMost(MAX_STARTS);
        assertThat(state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void failsTaskThatCrashesItsWorkers() throws InterruptedException
    {
        accept(SINGLE_TASK);
        TestJobs.waitUntil(TIMEOUT_MILLIS, this::hasFailedOrStartedTooOften);
        assertFailedAsPoison();
    }

    @Test
    void failsSpeculativeTaskThatCrashesItsWorkers() throws InterruptedException
    {
        accept(SPECULATIVE);
        TestJobs.waitUntil(TIMEOUT_MILLIS, this::hasFailedOrStartedTooOften);
        assertFailedAsPoison();
    }

    /** Each owner ends as soon as a run was started, before it can detect the crash. */
    @Test
    void failsPoisonTaskAcrossOwnerChanges() throws InterruptedException
    {
        accept(SINGLE_TASK);
        int knownStarts = 0;
        while (state() != JobState.FAILED && knownStarts <= MAX_STARTS)
        {
            int startsBefore = knownStarts;
            TestJobs.waitUntil(TIMEOUT_MILLIS,
                    () -> startCount() > startsBefore || state() == JobState.FAILED);
            if (startCount() == knownStarts)
            {
                break;
            }
            knownStarts = startCount();
            term.close();
            term = new TestTerm(platform, "box" + knownStarts);
        }
        assertFailedAsPoison();
    }
}
