/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.Json;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.schedule.AdviceDispatcher;
import org.gaugehollow.schedule.TestJobs;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.worker.Advice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against losing or confusing peers when boxes restart under the same address. */
class BoxRegistryTest
{
    private static final long TIMEOUT_MILLIS = 5_000;
    /** Time after which a held write fails with an unknown outcome. */
    private static final int HELD_MILLIS = 100;
    /** Id of the first lease that the store grants. */
    private static final long FIRST_LEASE = 1;
    private static final byte[] ENTRY = Json.write(new BoxRegistry.Entry("127.0.0.1:1", 1_000));

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final PeerDirectory directory = new PeerDirectory(loops, events, new Metrics());
    private final AdviceDispatcher adviceDispatcher = new AdviceDispatcher(
            (step, workers, timeout) -> new Advice(List.of(), 0), events);
    private final PeerTermProbe termProbe = new PeerTermProbe("self", "127.0.0.1:2", directory);
    private final BoxRegistry registry = new BoxRegistry("self", new BoxRegistry.Entry("127.0.0.1:2", 700),
            new FakeStore(), directory, termProbe, "hall", adviceDispatcher, events);

    @AfterEach
    void close()
    {
        directory.close();
        loops.close();
    }

    @Test
    void endOfOldRegistrationKeepsLinkToRestartedBox()
    {
        registry.onPut(JobKeys.BOXES + "a~1", ENTRY, 1);
        registry.onPut(JobKeys.BOXES + "a~2", ENTRY, 2);
        PeerLink link = directory.link("127.0.0.1:1");
        registry.onRemoved(JobKeys.BOXES + "a~1", 3);
        assertThat(directory.link("127.0.0.1:1")).isSameInstanceAs(link);
    }

    @Test
    void olderIncarnationListedLaterIsIgnored()
    {
        registry.onPut(JobKeys.BOXES + "a~2", ENTRY, 2);
        registry.onPut(JobKeys.BOXES + "a~1", ENTRY, 1);
        assertThat(registry.peers()).containsExactly("a~2");
        registry.onRemoved(JobKeys.BOXES + "a~1", 3);
        assertThat(registry.peers()).containsExactly("a~2");
    }

    @Test
    void earlierIncarnationOfThisBoxIsNotAPeer()
    {
        registry.onPut(JobKeys.BOXES + "self~0", Json.write(new BoxRegistry.Entry("127.0.0.1:2", 700)), 1);
        assertThat(registry.peers()).isEmpty();
    }

    @Test
    void linkToRemovedBoxIsClosed()
    {
        registry.onPut(JobKeys.BOXES + "a~1", ENTRY, 1);
        PeerLink link = directory.link("127.0.0.1:1");
        registry.onRemoved(JobKeys.BOXES + "a~1", 2);
        assertThat(directory.link("127.0.0.1:1")).isNotSameInstanceAs(link);
    }

    /**
     * Guards against a box that stays unregistered, because a late write tied its key to an old lease.
     */
    @Test
    void registrationWrittenLateDoesNotReplaceNewerOne() throws InterruptedException
    {
        FakeStore store = new FakeStore();
        BoxRegistry late = new BoxRegistry("late", new BoxRegistry.Entry("127.0.0.1:3", 700), store,
                directory, termProbe, "hall", adviceDispatcher, events);
        store.holdWrites(1, HELD_MILLIS);
        try (Supervisor supervisor = new Supervisor("test", events))
        {
            supervisor.start("registry", late);
            assertThat(becomesRegistered(store, "late")).isTrue();
            store.deliverHeldWrites();
            store.revokeLease(FIRST_LEASE);
            assertThat(store.get(JobKeys.BOXES + "late")).isPresent();
        }
    }

    /**
     * Guards against a late registration of a process that ended, which would displace its successor.
     */
    @Test
    void registrationWrittenAfterSuccessorRegisteredIsRefused() throws InterruptedException
    {
        FakeStore store = new FakeStore();
        BoxRegistry.Entry entry = new BoxRegistry.Entry("127.0.0.1:3", 700);
        store.holdWrites(1, HELD_MILLIS);
        try (Supervisor supervisor = new Supervisor("ended", events))
        {
            supervisor.start("registry", new BoxRegistry("a~1", entry, store, directory, termProbe, "hall",
                    adviceDispatcher, events));
            assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, store::hasHeldWrites)).isTrue();
        }
        try (Supervisor supervisor = new Supervisor("successor", events))
        {
            supervisor.start("registry", new BoxRegistry("a~2", entry, store, directory, termProbe, "hall",
                    adviceDispatcher, events));
            assertThat(becomesRegistered(store, "a~2")).isTrue();
            store.deliverHeldWrites();
            assertThat(store.get(JobKeys.BOXES + "a~2")).isPresent();
            assertThat(store.get(JobKeys.BOXES + "a~1")).isEmpty();
        }
    }

    private static boolean becomesRegistered(FakeStore store, String box) throws InterruptedException
    {
        return TestJobs.waitUntil(TIMEOUT_MILLIS, () -> store.get(JobKeys.BOXES + box).isPresent());
    }

    @Test
    void largerBoxOutranksThisOneAfterMinimumTime() throws InterruptedException
    {
        registry.onPut(JobKeys.BOXES + "a~1", ENTRY, 1);
        assertThat(registry.isOutranked("")).isFalse();
        Thread.sleep(1_100);
        assertThat(registry.isOutranked("")).isTrue();
        assertThat(registry.isOutranked("a~1")).isFalse();
    }

    @Test
    void boxIsLongerRunningThanLaterBoxesOfSimilarCapacity() throws InterruptedException
    {
        registry.onPut(JobKeys.BOXES + "b~1", ENTRY, 1);
        registry.onPut(JobKeys.BOXES + "self", Json.write(new BoxRegistry.Entry("127.0.0.1:2", 700)), 2);
        Thread.sleep(1_100);
        assertThat(registry.isLongerRunning("")).isFalse();
        registry.onPut(JobKeys.BOXES + "weak~1", Json.write(new BoxRegistry.Entry("127.0.0.1:4", 300)), 3);
        registry.onPut(JobKeys.BOXES + "like~1", Json.write(new BoxRegistry.Entry("127.0.0.1:3", 700)), 4);
        assertThat(registry.isLongerRunning("")).isFalse();
        Thread.sleep(1_100);
        assertThat(registry.isLongerRunning("")).isTrue();
        assertThat(registry.isLongerRunning("like~1")).isFalse();
    }

    @Test
    void boxOfSimilarCapacityDoesNotOutrankThisOne() throws InterruptedException
    {
        registry.onPut(JobKeys.BOXES + "a~1", Json.write(new BoxRegistry.Entry("127.0.0.1:1", 750)), 1);
        Thread.sleep(1_100);
        assertThat(registry.isOutranked("")).isFalse();
    }

    @Test
    void unreadableRegistrationIsIgnored()
    {
        registry.onPut(JobKeys.BOXES + "a~1", new byte[]{'x'}, 1);
        registry.onPut(JobKeys.BOXES + "b~1", ENTRY, 2);
        assertThat(registry.peers()).containsExactly("b~1");
    }
}
