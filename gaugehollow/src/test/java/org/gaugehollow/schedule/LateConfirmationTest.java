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
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.urgency.StopCosts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

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

    /** Kinds of calls that confirm a term. */
    private enum Confirmation
    {
        NONE,
        ACQUISITION,
        RENEWAL
    }

    /** Store whose answer to one call is read after a pause and which is down from that call on. */
    private static final class PauseStore extends FakeStore
    {
        private volatile Confirmation paused = Confirmation.NONE;
        private volatile long sentNanos;

        private void pauseIf(Confirmation confirmation) throws InterruptedException
        {
            if (paused == confirmation)
            {
                sentNanos = SteadyClock.nanos();
                setDown(true);
                Thread.sleep(PAUSE_MILLIS);
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
            pauseIf(Confirmation.ACQUISITION);
            return revision;
        }

        @Override
        @SuppressWarnings("UnsynchronizedOverridesSynchronized") // other calls must not wait for the pause
        public boolean renewLease(long lease) throws InterruptedException
        {
            boolean isRenewed = super.renewLease(lease);
            pauseIf(Confirmation.RENEWAL);
            return isRenewed;
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
        CellConfig config = new CellConfig(1, List.of());
        election = new OwnerElection("box", platform, () -> config, monitor, new FirstRanking(),
                new AdviceDispatcher(platform.advice(), events), new WaitingFirstScore(0.5),
                StopCosts.DEFAULT, supervisor.child("owner"), 60, events);
        supervisor.start("election", election);
    }

    /** Ranking in which no box is before this one. */
    private static final class FirstRanking implements OwnerElection.Ranking
    {
        @Override
        public boolean isOutranked(String excludedBox)
        {
            return false;
        }

        @Override
        public boolean isLongerRunning(String excludedBox)
        {
            return false;
        }
    }

    private boolean becomesOwnerWithin(long millis) throws InterruptedException
    {
        return TestJobs.waitUntil(millis, () -> election.isOwner());
    }

    /** Guards against two runs of a task, because a paused owner goes on after it was replaced. */
    @Test
    void renewalAnswerReadLateDoesNotProlongTerm() throws InterruptedException
    {
        startElection();
        assertThat(becomesOwnerWithin(TIMEOUT_MILLIS)).isTrue();
        store.paused = Confirmation.RENEWAL;
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> store.sentNanos != 0)).isTrue();
        long maxTermMillis = TimeUnit.NANOSECONDS.toMillis(OwnerLease.MAX_UNCONFIRMED_NANOS)
                + END_MARGIN_MILLIS;
        assertThat(TestJobs.waitUntil(maxTermMillis, () -> !election.isOwner())).isTrue();
    }

    /** Guards against two runs of a task, because a box was paused while it became the owner. */
    @Test
    void acquisitionAnswerReadLateDoesNotProlongTerm() throws InterruptedException
    {
        store.paused = Confirmation.ACQUISITION;
        startElection();
        assertThat(becomesOwnerWithin(PAUSE_MILLIS + TIMEOUT_MILLIS)).isTrue();
        assertThat(election.unconfirmedMillis()).isAtLeast(store.millisSinceSent());
    }
}
