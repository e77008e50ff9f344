/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests terms whose confirmation by the store is read late, as after a pause of the process. */
@Execution(ExecutionMode.CONCURRENT)
class LateConfirmationTest
{
    private static final int PAUSE_MILLIS = 4_000;
    private static final long TIMEOUT_MILLIS = 3_000;
    /** Time from the end of the right to send commands until the term ends, on a busy machine. */
    private static final long END_MARGIN_MILLIS = 2_000;

    private final EventLog events = new EventLog("box", new HybridClock(System::currentTimeMillis));
    private final PauseStore store = new PauseStore();
    private final FakePlatform platform = new FakePlatform(store);
    private final Supervisor supervisor = new Supervisor("test", events);
    private OwnerElection election;

    /** Kinds of calls of an owner about its term. */
    private enum TermCall
    {
        NONE,
        ACQUISITION,
        RENEWAL,
        READ
    }

    /** Store whose answer to one call is read after a pause and which is down from that call on. */
    private static final class PauseStore extends FakeStore
    {
        private volatile TermCall paused = TermCall.NONE;
        private volatile long sentNanos;

        private void pauseAfter(TermCall call)
        {
            if (paused != call)
            {
                return;
            }
            sentNanos = SteadyClock.nanos();
            setDown(true);
            try
            {
                Thread.sleep(PAUSE_MILLIS);
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        }

        long millisSinceSent()
        {
            return TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - sentNanos);
        }

        @Override
        public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
        {
            Optional<Long> revision = super.commit(transaction);
            pauseAfter(TermCall.ACQUISITION);
            return revision;
        }

        @Override
        @SuppressWarnings("UnsynchronizedOverridesSynchronized") // other calls must not wait for the pause
        public boolean renewLease(long lease)
        {
            boolean isRenewed = super.renewLease(lease);
            pauseAfter(TermCall.RENEWAL);
            return isRenewed;
        }

        @Override
        @SuppressWarnings("UnsynchronizedOverridesSynchronized") // other calls must not wait for the pause
        public Optional<StoredValue> get(String key)
        {
            Optional<StoredValue> value = super.get(key);
            if (key.equals(JobKeys.OWNER))
            {
                pauseAfter(TermCall.READ);
            }
            return value;
        }
    }

    @AfterEach
    void stop()
    {
        supervisor.close();
    }

    private void startElection()
    {
        OwnerMonitor monitor = new OwnerMonitor(new FakeOwnerProbe(), () -> true, owner -> false,
                SteadyClock::nanos);
        election = TestElections.start("box", platform, new CellConfig(1, List.of()), monitor,
                new FakeOtherBoxes(), supervisor, events);
    }

    private boolean becomesOwnerWithin(long millis) throws InterruptedException
    {
        return TestJobs.waitUntil(millis, () -> election.isOwner());
    }

    /** Guards against two runs of a task, because a paused owner goes on after it was replaced. */
    @ParameterizedTest
    @EnumSource(value = TermCall.class, names = {"RENEWAL", "READ"})
    void answerReadLateDoesNotProlongTerm(TermCall call) throws InterruptedException
    {
        startElection();
        assertThat(becomesOwnerWithin(TIMEOUT_MILLIS)).isTrue();
        store.paused = call;
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> store.sentNanos != 0)).isTrue();
        assertThat(endsInTime()).isTrue();
    }

    /** Guards against two runs of a task, because a box was paused while it became the owner. */
    @Test
    void acquisitionAnswerReadLateDoesNotProlongTerm() throws InterruptedException
    {
        store.paused = TermCall.ACQUISITION;
        startElection();
        assertThat(becomesOwnerWithin(PAUSE_MILLIS + TIMEOUT_MILLIS)).isTrue();
        long sinceSentMillis = store.millisSinceSent();
        assertThat(election.unconfirmedMillis()).isAtLeast(sinceSentMillis);
    }

    /** Guards against an owner that keeps its term, because the store fails while the term begins. */
    @Test
    void termThatCannotBeginEndsOnceItIsUnconfirmed() throws InterruptedException
    {
        store.paused = TermCall.ACQUISITION;
        startElection();
        assertThat(becomesOwnerWithin(PAUSE_MILLIS + TIMEOUT_MILLIS)).isTrue();
        assertThat(endsInTime()).isTrue();
    }

    private boolean endsInTime() throws InterruptedException
    {
        long maxTermMillis = TimeUnit.NANOSECONDS.toMillis(OwnerLease.MAX_UNCONFIRMED_NANOS)
                + END_MARGIN_MILLIS;
        return TestJobs.waitUntil(maxTermMillis - store.millisSinceSent(), () -> !election.isOwner());
    }
}
