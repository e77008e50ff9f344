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

/** When a box may take an owner for dead before the owner's lease ends. */
class OwnerMonitorTest
{
    private static final String OWNER = "bole-1";
    private static final long TERM = 7;
    private static final long PAST_GRACE = TimeUnit.SECONDS.toNanos(4);

    private final FakeOwnerProbe probe = new FakeOwnerProbe(OWNER, "bole-2", "bole-3", "bole-4");
    private final AtomicLong clock = new AtomicLong();
    private volatile boolean steady = true;
    private final OwnerMonitor monitor = new OwnerMonitor(probe, () -> steady, owner -> false, clock::get);
    private final CompletableFuture<String> suspicion = new CompletableFuture<>();
    private Thread watcher;

    @AfterEach
    void stop()
    {
        watcher.interrupt();
    }

    private void watch() throws InterruptedException
    {
        watch(monitor, probe);
    }

    /** Returns once the watch has begun, so that time that passes afterwards counts. */
    private void watch(OwnerMonitor watching, FakeOwnerProbe asked) throws InterruptedException
    {
        watcher = OwnerTerm.inBackground("test",
                () -> suspicion.complete(watching.awaitSuspicion(OWNER, TERM)));
        while (asked.asked() == 0)
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

    private void watchForSomeTimeWhileItOwns() throws Exception
    {
        probe.owns(OWNER, 100);
        watch();
        assertThat(isSuspectedWithin(100)).isFalse();
        clock.addAndGet(PAST_GRACE);
        assertThat(isSuspectedWithin(100)).isFalse();
    }

    @Test
    void anOwnerThatMostBoxesDoNotHearIsSuspected() throws Exception
    {
        watchForSomeTimeWhileItOwns();
        probe.saysOfOwner("bole-2", true);
        probe.saysOfOwner("bole-3", true);
        probe.saysOfOwner("bole-4", false);
        probe.saysOfOwner(OWNER, false);
        assertThat(isSuspectedWithin(2_000)).isTrue();
    }

    @Test
    void aBoxThatIsCutOffFromAllOthersSuspectsNobody() throws Exception
    {
        watch();
        clock.addAndGet(PAST_GRACE);
        assertThat(isSuspectedWithin(500)).isFalse();
        assertThat(monitor.isOwnerUnresponsive(OWNER)).isTrue();
    }

    @Test
    void anOwnerThatHalfOfTheBoxesHearIsNotSuspected() throws Exception
    {
        watch();
        probe.saysOfOwner("bole-2", true);
        probe.saysOfOwner("bole-3", false);
        probe.saysOfOwner("bole-4", false);
        clock.addAndGet(PAST_GRACE);
        assertThat(isSuspectedWithin(500)).isFalse();
    }

    @Test
    void anOwnerThatTheStoreDoesNotConfirmIsSuspected() throws Exception
    {
        watchForSomeTimeWhileItOwns();
        probe.owns(OWNER, 800);
        assertThat(isSuspectedWithin(1_000)).isTrue();
    }

    @Test
    void anOwnerIsNotSuspectedForAStoreThatFailedThisBoxToo() throws Exception
    {
        watchForSomeTimeWhileItOwns();
        steady = false;
        probe.owns(OWNER, 4_000);
        assertThat(isSuspectedWithin(400)).isFalse();
    }

    @Test
    void anOwnerThatIsNotRegisteredIsNotTakenForSilent() throws Exception
    {
        FakeOwnerProbe others = new FakeOwnerProbe("bole-2", "bole-3");
        others.saysOfOwner("bole-2", true);
        others.saysOfOwner("bole-3", true);
        OwnerMonitor unknowing = new OwnerMonitor(others, () -> true, owner -> false, clock::get);
        watch(unknowing, others);
        clock.addAndGet(PAST_GRACE);
        assertThat(isSuspectedWithin(400)).isFalse();
        assertThat(unknowing.isOwnerUnresponsive(OWNER)).isFalse();
    }

    @Test
    void aNewOwnerIsLeftAloneForAWhile() throws Exception
    {
        watch();
        probe.saysOfOwner("bole-2", true);
        probe.saysOfOwner("bole-3", true);
        probe.saysOfOwner("bole-4", true);
        assertThat(isSuspectedWithin(400)).isFalse();
        clock.addAndGet(PAST_GRACE);
        assertThat(isSuspectedWithin(1_000)).isTrue();
    }

    @Test
    void aTermThatIsAwaitedAgainIsNotLeftAloneAgain() throws Exception
    {
        watch();
        watcher.interrupt();
        watcher.join();
        clock.addAndGet(PAST_GRACE);
        probe.saysOfOwner("bole-2", true);
        probe.saysOfOwner("bole-3", true);
        probe.saysOfOwner("bole-4", true);
        watch();
        assertThat(isSuspectedWithin(1_000)).isTrue();
    }

    /**
     * The owner's hall is cut off, and with it a fifth of the boxes. They were asked one after the
     * other, and each that could not be reached held up the others for 0.45 s: 2.4 s in this cell.
     */
    @Test
    void boxesThatCannotBeReachedDoNotHoldUpTheOthersWord() throws Exception
    {
        String[] peers = IntStream.range(0, 30).mapToObj(i -> "box-" + i).toArray(String[]::new);
        peers[0] = OWNER;
        FakeOwnerProbe many = new FakeOwnerProbe(peers);
        for (String peer : peers)
        {
            many.saysOfOwner(peer, true);
        }
        many.owns(OWNER, 100);
        watch(new OwnerMonitor(many, () -> true, owner -> false, clock::get), many);
        clock.addAndGet(PAST_GRACE);
        assertThat(isSuspectedWithin(100)).isFalse();
        for (int i = 1; i < 7; i++)
        {
            many.isCutOff(peers[i]);
        }
        many.saysOfOwner(OWNER, false);
        assertThat(isSuspectedWithin(900)).isTrue();
    }

    /** Others take over before such a box does, so it need not ask all boxes for their word. */
    @Test
    void aBoxThatOthersOutrankDoesNotAskTheOthers() throws Exception
    {
        probe.owns(OWNER, 100);
        watch(new OwnerMonitor(probe, () -> true, owner -> true, clock::get), probe);
        clock.addAndGet(PAST_GRACE);
        probe.saysOfOwner("bole-2", true);
        probe.saysOfOwner("bole-3", true);
        probe.saysOfOwner("bole-4", true);
        probe.saysOfOwner(OWNER, false);
        assertThat(isSuspectedWithin(1_000)).isFalse();
    }

    @Test
    void theOwnerIsAskedLessOftenByEachOfManyBoxes() throws Exception
    {
        String[] peers = IntStream.range(0, 47).mapToObj(i -> "box-" + i).toArray(String[]::new);
        FakeOwnerProbe many = new FakeOwnerProbe(peers);
        many.owns(OWNER, 100);
        watch(new OwnerMonitor(many, () -> true, owner -> false, clock::get), many);
        assertThat(many.longestHoldMillis()).isEqualTo(470);
        watcher.interrupt();
        probe.owns(OWNER, 100);
        watch();
        assertThat(probe.longestHoldMillis()).isEqualTo(250);
    }
}
