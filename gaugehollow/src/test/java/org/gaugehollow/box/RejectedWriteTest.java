/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against reporting "not run" when a retry is rejected while an earlier unanswered write may
 * still take effect.
 */
class RejectedWriteTest
{
    private static final String ID = "00000000000000aa";
    private static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5, null);
    private static final JobSpec JOB = new JobSpec("text", List.of(new StepSpec(1, 1, 1, 0, 1, List.of(),
            false, false, false, null, null, 0, false, false, null, 0, false, 0)), 0, 0, 0);
    /** Time for which a box waits for an answer of the store. */
    private static final int STORE_TIMEOUT_MILLIS = 900;
    /** Shorter than the delay of the second attempt, which is sent after 350 ms. */
    private static final int REJECT_AFTER_MILLIS = 200;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final FakeStore store = new FakeStore();
    private final JobIntake box = intake();
    private final JobIntake otherBox = intake();
    private JobIntake intake()
    {
        return new JobIntake(new MonitoredStore(store, events, SteadyClock::nanos), new NoOpJobListener(),
                events, new Metrics());
    }

    /** Delays the next write until its timeout and rejects the later ones. */
    private void holdFirstWriteAndRejectLaterOnes()
    {
        store.holdWrites(1, STORE_TIMEOUT_MILLIS);
        Thread.ofVirtual().start(() ->
        {
            try
            {
                Thread.sleep(REJECT_AFTER_MILLIS);
                store.setDown(true);
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static long deadlineIn(long millis)
    {
        return SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void submissionWithPendingFirstWriteHasUnknownOutcome() throws InterruptedException
    {
        holdFirstWriteAndRejectLaterOnes();
        GaugehollowException failure = assertThrows(GaugehollowException.class,
                () -> box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(3_000)));
        store.setDown(false);
        store.deliverHeldWrites();
        assertThat(otherBox.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.QUEUED);
        assertThat(failure.code()).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    @Test
    void cancellationWithPendingFirstWriteHasUnknownOutcome() throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(3_000));
        holdFirstWriteAndRejectLaterOnes();
        GaugehollowException failure = assertThrows(GaugehollowException.class,
                () -> box.cancel(JobScope.of(QUEUE), ID, deadlineIn(3_000)));
        store.setDown(false);
        store.deliverHeldWrites();
        assertThat(store.get(JobKeys.cancellation(ID))).isPresent();
        assertThat(failure.code()).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    @Test
    void submissionWithRejectedOnlyWriteFailsAtOnceAsNotRun() throws InterruptedException
    {
        store.setDown(true);
        long startNanos = SteadyClock.nanos();
        GaugehollowException failure = assertThrows(GaugehollowException.class,
                () -> box.submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(3_000)));
        assertThat(failure.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos)).isLessThan(300);
        assertThat(store.commits()).isEqualTo(0);
    }
}
