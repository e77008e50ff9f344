/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueAddress;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Guards against customers seeing, cancelling or reusing the jobs of other customers. */
class CustomerIsolationTest
{
    private static final String ID = "00000000000000aa";
    private static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5, null);
    private static final QueueAddress ADDRESS = new QueueAddress("scores.example", "/recap/");
    private static final JobScope NORTH = new JobScope(QUEUE, "north");
    private static final JobScope SOUTH = new JobScope(QUEUE, "south");
    private static final JobSpec JOB = new JobSpec("text", List.of(new StepSpec(1, 1, 1, 0, 1, List.of(),
            false, false, false, null, null, 0, false, false, null, 0, false, 0)), 0, 0, 0);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final FakeStore store = new FakeStore();
    private final JobIntake box = new JobIntake(new MonitoredStore(store, events, SteadyClock::nanos),
            new JobListener()
            {
                @Override
                public void onJobWritten(String job)
                {
                    // not needed here
                }

                @Override
                public void onJobCancelled(String job)
                {
                    // not needed here
                }
            }, events, new Metrics());

    private static long inOneSecond()
    {
        return SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(1);
    }

    private static ResultCode codeOf(Executable call)
    {
        return assertThrows(GaugehollowException.class, call).code();
    }

    private void submit(JobScope scope) throws InterruptedException
    {
        box.submit(scope, ID, JOB, inOneSecond());
    }

    @Test
    void jobOfAnotherCustomerIsReportedAsUnknown() throws InterruptedException
    {
        submit(NORTH);
        assertThat(box.state(NORTH, ID)).isEqualTo(JobState.QUEUED);
        assertThat(codeOf(() -> box.state(SOUTH, ID))).isEqualTo(ResultCode.UNKNOWN_JOB);
        store.commit(new StoreTransaction().put(JobKeys.progress(ID),
                JobCodec.writeProgress(new JobProgress(QUEUE.name(), JobState.RUNNING, List.of(), "north"))));
        assertThat(box.state(NORTH, ID)).isEqualTo(JobState.RUNNING);
        assertThat(codeOf(() -> box.state(SOUTH, ID))).isEqualTo(ResultCode.UNKNOWN_JOB);
    }

    @Test
    void jobOfAnotherCustomerIsNotCancelled() throws InterruptedException
    {
        submit(NORTH);
        assertThat(codeOf(() -> box.cancel(SOUTH, ID, inOneSecond()))).isEqualTo(ResultCode.UNKNOWN_JOB);
        assertThat(box.state(NORTH, ID)).isEqualTo(JobState.QUEUED);
        box.cancel(NORTH, ID, inOneSecond());
        assertThat(box.state(NORTH, ID)).isEqualTo(JobState.CANCELLED);
    }

    /** Guards against a stored early cancellation that cancels the job of another customer. */
    @Test
    void cancellationBeforeRecordAppliesOnlyToOwnCustomer() throws InterruptedException
    {
        assertThat(codeOf(() -> box.cancel(SOUTH, ID, inOneSecond()))).isEqualTo(ResultCode.UNKNOWN_JOB);
        submit(NORTH);
        assertThat(box.state(NORTH, ID)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void sameIdIsIdempotentForOneCustomerAndRejectedForAnother() throws InterruptedException
    {
        submit(NORTH);
        submit(NORTH);
        assertThat(store.list(JobKeys.JOBS).values()).hasSize(1);
        assertThat(codeOf(() -> submit(SOUTH))).isEqualTo(ResultCode.JOB_CONFLICT);
    }

    /** Guards against reporting "not run" although the write may have taken effect. */
    @Test
    void outcomeIsUnknownWhenCustomerOfJobCannotBeRead() throws InterruptedException
    {
        submit(NORTH);
        store.failReads(true);
        assertThat(codeOf(() -> submit(NORTH))).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    @Test
    void jobWithoutCustomerIsVisibleToAll() throws InterruptedException
    {
        submit(JobScope.of(QUEUE));
        assertThat(box.state(NORTH, ID)).isEqualTo(JobState.QUEUED);
        assertThat(box.state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.QUEUED);
        submit(NORTH);
        assertThat(store.list(JobKeys.JOBS).values()).hasSize(1);
    }

    private static JobScope renamed(String customer)
    {
        return new JobScope(QueueSpec.named("renamed"), customer, Optional.of(ADDRESS));
    }

    @Test
    void jobOfRenamedQueueIsVisibleToItsCustomerOnly() throws InterruptedException
    {
        submit(new JobScope(QUEUE, "north", Optional.of(ADDRESS)));
        assertThat(box.state(renamed("north"), ID)).isEqualTo(JobState.QUEUED);
        assertThat(codeOf(() -> box.state(renamed("south"), ID))).isEqualTo(ResultCode.UNKNOWN_JOB);
        assertThat(codeOf(() -> box.cancel(renamed("south"), ID, inOneSecond())))
                .isEqualTo(ResultCode.UNKNOWN_JOB);
    }
}
