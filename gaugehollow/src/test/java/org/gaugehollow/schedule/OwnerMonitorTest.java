/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when an owner is suspected before its lease ends. */
class OwnerMonitorTest
{
    private static final String OWNER = "bole-1";
    private static final long TERM = 7;
    private static final long AFTER_GRACE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final FakeOwnerProbe probe = new FakeOwnerProbe(OWNER, "bole-2", "bole-3", "bole-4");
    private final AtomicLong clock = new AtomicLong();
    private volatile boolean stable = true;
    private final OwnerMonitor monitor = new OwnerMonitor(probe, () -> stable, owner -> false, clock::get);
    private final CompletableFuture<String> suspicion = new CompletableFuture<>();
    private Thread watcher;

    @AfterEach
    void stop()
    {
        watcher.interrupt();
    }

    private void startWatching() throws InterruptedException
    {
        startWatching(monitor, probe);
    }

    /**
     * Starts watching and returns after the first probe, so that time that passes afterwards counts.
     */
    private void startWatching(OwnerMonitor watchedMonitor, FakeOwnerProbe watchedProbe)
            throws InterruptedException
    {
        watcher = OwnerTerm.inBackground("test",
                () -> suspicion.complete(watchedMonitor.awaitSuspicion(OWNER, TERM)));
        while (watchedProbe.callCount() == 0)
        {
            Thread.sleep(1);
        }
    }

    private boolean isSuspectedWithin(long millis) throws Exception
    {
        long end = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!suspicion.isDone() && SteadyClock.nanos() < end)
        {
            Thread.sleep(5);
        }
        return suspicion.isDone();
    }

    private void watchHealthyOwner() throws Exception
    {
        probe.setOwner(OWNER, 100);
        startWatching();
        assertThat(isSuspectedWithin(100)).isFalse();
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        assertThat(isSuspectedWithin(100)).isFalse();
    }

    @Test
    void ownerUnresponsiveToMajorityIsSuspected() throws Exception
    {
        watchHealthyOwner();
        probe.setOwnerUnresponsive("bole-2", true);
        probe.setOwnerUnresponsive("bole-3", true);
        probe.setOwnerUnresponsive("bole-4", false);
        probe.setOwnerUnresponsive(OWNER, false);
        assertThat(isSuspectedWithin(2_000)).isTrue();
    }

    @Test
    void isolatedBoxDoesNotSuspectOwner() throws Exception
    {
        startWatching();
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        assertThat(isSuspectedWithin(500)).isFalse();
        assertThat(monitor.isOwnerUnresponsive(OWNER)).isTrue();
    }

    @Test
    void ownerReachableByHalfOfBoxesIsNotSuspected() throws Exception
    {
        startWatching();
        probe.setOwnerUnresponsive("bole-2", true);
        probe.setOwnerUnresponsive("bole-3", false);
        probe.setOwnerUnresponsive("bole-4", false);
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        assertThat(isSuspectedWithin(500)).isFalse();
    }

    @Test
    void unconfirmedOwnerIsSuspected() throws Exception
    {
        watchHealthyOwner();
        probe.setOwner(OWNER, 800);
        assertThat(isSuspectedWithin(1_000)).isTrue();
    }

    @Test
    void unconfirmedOwnerIsNotSuspectedWhileStoreIsUnstable() throws Exception
    {
        watchHealthyOwner();
        stable = false;
        probe.setOwner(OWNER, 4_000);
        assertThat(isSuspectedWithin(400)).isFalse();
    }

    @Test
    void unregisteredOwnerIsNotUnresponsive() throws Exception
    {
        FakeOwnerProbe others = new FakeOwnerProbe("bole-2", "bole-3");
        others.setOwnerUnresponsive("bole-2", true);
        others.setOwnerUnresponsive("bole-3", true);
        OwnerMonitor otherMonitor = new OwnerMonitor(others, () -> true, owner -> false, clock::get);
        startWatching(otherMonitor, others);
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        assertThat(isSuspectedWithin(400)).isFalse();
        assertThat(otherMonitor.isOwnerUnresponsive(OWNER)).isFalse();
    }

    @Test
    void newOwnerIsNotSuspectedDuringGracePeriod() throws Exception
    {
        startWatching();
        probe.setOwnerUnresponsive("bole-2", true);
        probe.setOwnerUnresponsive("bole-3", true);
        probe.setOwnerUnresponsive("bole-4", true);
        assertThat(isSuspectedWithin(400)).isFalse();
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        assertThat(isSuspectedWithin(1_000)).isTrue();
    }

    @Test
    void gracePeriodIsNotRepeatedForSameTerm() throws Exception
    {
        startWatching();
        watcher.interrupt();
        watcher.join();
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        probe.setOwnerUnresponsive("bole-2", true);
        probe.setOwnerUnresponsive("bole-3", true);
        probe.setOwnerUnresponsive("bole-4", true);
        startWatching();
        assertThat(isSuspectedWithin(1_000)).isTrue();
    }

    /**
     * Guards against querying boxes one after the other, where each unreachable box delays the result.
     */
    @Test
    void unreachableBoxesDoNotDelaySuspicion() throws Exception
    {
        String[] peers = IntStream.range(0, 30).mapToObj(i -> "box-" + i).toArray(String[]::new);
        peers[0] = OWNER;
        FakeOwnerProbe manyBoxes = new FakeOwnerProbe(peers);
        for (String peer : peers)
        {
            manyBoxes.setOwnerUnresponsive(peer, true);
        }
        manyBoxes.setOwner(OWNER, 100);
        startWatching(new OwnerMonitor(manyBoxes, () -> true, owner -> false, clock::get), manyBoxes);
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        assertThat(isSuspectedWithin(100)).isFalse();
        for (int i = 1; i < 7; i++)
        {
            manyBoxes.setUnreachable(peers[i]);
        }
        manyBoxes.setOwnerUnresponsive(OWNER, false);
        assertThat(isSuspectedWithin(900)).isTrue();
    }

    /** Guards against outranked boxes that query all others, although they would not take over. */
    @Test
    void outrankedBoxDoesNotSuspectOwner() throws Exception
    {
        probe.setOwner(OWNER, 100);
        startWatching(new OwnerMonitor(probe, () -> true, owner -> true, clock::get), probe);
        clock.addAndGet(AFTER_GRACE_PERIOD_NANOS);
        probe.setOwnerUnresponsive("bole-2", true);
        probe.setOwnerUnresponsive("bole-3", true);
        probe.setOwnerUnresponsive("bole-4", true);
        probe.setOwnerUnresponsive(OWNER, false);
        assertThat(isSuspectedWithin(1_000)).isFalse();
    }

    @Test
    void holdTimeGrowsWithNumberOfBoxes() throws Exception
    {
        String[] peers = IntStream.range(0, 47).mapToObj(i -> "box-" + i).toArray(String[]::new);
        FakeOwnerProbe manyBoxes = new FakeOwnerProbe(peers);
        manyBoxes.setOwner(OWNER, 100);
        startWatching(new OwnerMonitor(manyBoxes, () -> true, owner -> false, clock::get), manyBoxes);
        assertThat(manyBoxes.maxHoldMillis()).isEqualTo(470);
        watcher.interrupt();
        probe.setOwner(OWNER, 100);
        startWatching();
        assertThat(probe.maxHoldMillis()).isEqualTo(250);
    }
}
