/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Finds peers that have store access. All registered peers are probed concurrently and on demand;
 * the result of a round is shared by calls that follow shortly after.
 */
final class StorePeerFinder
{
    /** Time for which the result of a round is reused. */
    private static final long ROUND_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Maximum wait for the first peer with store access. */
    private static final int MAX_WAIT_MILLIS = 120;

    /** Checks whether a peer has store access. */
    @FunctionalInterface
    interface StoreProbe
    {
        /**
         * @param peer id of a registered box
         * @return whether the peer has store access; false if the peer does not answer
         * @throws InterruptedException if the thread is interrupted
         */
        boolean hasStoreAccess(String peer) throws InterruptedException;
    }

    /** One round of concurrent probes. */
    private static final class Round
    {
        private final long startNanos;
        private final Set<String> peersWithAccess = ConcurrentHashMap.newKeySet();
        private final CountDownLatch firstMatchOrEnd = new CountDownLatch(1);
        private int pendingReplies;

        Round(long startNanos, int pendingReplies)
        {
            this.startNanos = startNanos;
            this.pendingReplies = pendingReplies;
        }

        synchronized void onReply(String peer, boolean hasAccess)
        {
            pendingReplies--;
            if (hasAccess)
            {
                peersWithAccess.add(peer);
            }
            if (hasAccess || pendingReplies == 0)
            {
                firstMatchOrEnd.countDown();
            }
        }
    }

    private final Supplier<Set<String>> peers;
    private final StoreProbe storeProbe;
    private final LongSupplier nanoTime;
    private Round lastRound;

    /**
     * @param peers supplies the ids of the registered peers
     * @param storeProbe probes a single peer
     * @param nanoTime monotonic clock in nanoseconds
     */
    StorePeerFinder(Supplier<Set<String>> peers, StoreProbe storeProbe, LongSupplier nanoTime)
    {
        this.peers = peers;
        this.storeProbe = storeProbe;
        this.nanoTime = nanoTime;
    }

    /** Returns the peers known to have store access; empty if none confirms it in time. */
    List<String> find() throws InterruptedException
    {
        Round round = currentRound();
        boolean completed = round.firstMatchOrEnd.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        return completed ? new ArrayList<>(round.peersWithAccess) : List.of();
    }

    private synchronized Round currentRound()
    {
        long nowNanos = nanoTime.getAsLong();
        if (lastRound == null || nowNanos - lastRound.startNanos > ROUND_VALIDITY_NANOS)
        {
            lastRound = startRound(peers.get(), nowNanos);
        }
        return lastRound;
    }

    private Round startRound(Collection<String> peerIds, long nowNanos)
    {
        Round round = new Round(nowNanos, peerIds.size());
        if (peerIds.isEmpty())
        {
            round.firstMatchOrEnd.countDown();
        }
        for (String peer : peerIds)
        {
            Thread.ofVirtual().name("store-question-" + peer).start(() -> probePeer(peer, round));
        }
        return round;
    }

    private void probePeer(String peer, Round round)
    {
        boolean hasAccess = false;
        try
        {
            hasAccess = storeProbe.hasStoreAccess(peer);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        finally
        {
            round.onReply(peer, hasAccess);
        }
    }

    /** Returns those candidates that have store access. */
    Map<String, CallerRelay.Peer> filter(Map<String, CallerRelay.Peer> candidates) throws InterruptedException
    {
        Map<String, CallerRelay.Peer> peersWithAccess = new HashMap<>();
        for (String peer : find())
        {
            CallerRelay.Peer candidate = candidates.get(peer);
            if (candidate != null)
            {
                peersWithAccess.put(peer, candidate);
            }
        }
        return peersWithAccess;
    }
}
