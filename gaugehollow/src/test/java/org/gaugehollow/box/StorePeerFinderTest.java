/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Guards against relaying to peers without store access and against slow lookups. */
class StorePeerFinderTest
{
    private static final Set<String> PEERS = Set.of("bole-1", "bole-2", "bole-3");
    private static final long AFTER_ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(201);

    private final AtomicLong clock = new AtomicLong();
    private final AtomicInteger probes = new AtomicInteger();
    private final CountDownLatch never = new CountDownLatch(1);
    private volatile Set<String> peersWithAccess = Set.of();
    private volatile Set<String> unresponsivePeers = Set.of();
    private final StorePeerFinder finder = new StorePeerFinder(() -> PEERS, this::probe, clock::get);

    private boolean probe(String peer) throws InterruptedException
    {
        probes.incrementAndGet();
        if (unresponsivePeers.contains(peer))
        {
            never.await();
        }
        return peersWithAccess.contains(peer);
    }

    @Test
    void findReturnsOnlyPeersWithStoreAccess() throws InterruptedException
    {
        peersWithAccess = Set.of("bole-2");
        assertThat(finder.find()).containsExactly("bole-2");
        Map<String, CallerRelay.Peer> candidates = Map.of("bole-1", request -> null, "bole-2",
                request -> null);
        assertThat(finder.filter(candidates).keySet()).containsExactly("bole-2");
    }

    @Test
    void findReturnsEarlyWhenNoPeerHasStoreAccess() throws InterruptedException
    {
        long startNanos = SteadyClock.nanos();
        assertThat(finder.find()).isEmpty();
        assertThat(TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos)).isLessThan(100);
    }

    @Test
    void unresponsivePeersDoNotDelayFind() throws InterruptedException
    {
        unresponsivePeers = Set.of("bole-1", "bole-3");
        peersWithAccess = Set.of("bole-2");
        assertThat(finder.find()).containsExactly("bole-2");
        unresponsivePeers = PEERS;
        clock.addAndGet(AFTER_ROUND_NANOS);
        long startNanos = SteadyClock.nanos();
        assertThat(finder.find()).isEmpty();
        assertThat(TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos)).isLessThan(400);
    }

    @Test
    void callsWithinValidityShareOneRound() throws InterruptedException
    {
        for (int i = 0; i < 10; i++)
        {
            finder.find();
        }
        assertThat(probes.get()).isEqualTo(PEERS.size());
        peersWithAccess = Set.of("bole-1");
        clock.addAndGet(AFTER_ROUND_NANOS);
        assertThat(finder.find()).containsExactly("bole-1");
    }
}
