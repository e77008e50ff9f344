/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Other boxes as a test wants them to answer; a box without a set answer does not answer. */
final class FakeOwnerProbe implements OwnerProbe
{
    private static final long CALL_MILLIS = 2;
    /** How long a box that cannot be reached is waited for. */
    private static final long UNREACHED_MILLIS = 450;

    private final Map<String, Result> standings = new ConcurrentHashMap<>();
    private final Set<String> unreachable = ConcurrentHashMap.newKeySet();
    private final Set<Integer> holds = ConcurrentHashMap.newKeySet();
    private final Set<String> peers;
    private final AtomicInteger asked = new AtomicInteger();

    FakeOwnerProbe(String... peers)
    {
        this.peers = Set.of(peers);
    }

    /** How many calls were made. */
    int asked()
    {
        return asked.get();
    }

    /** The longest time for which the owner was asked to hold a call. */
    int longestHoldMillis()
    {
        return holds.stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** A box that is waited for in vain. */
    void isCutOff(String box)
    {
        unreachable.add(box);
    }

    void owns(String box, long unconfirmedMillis)
    {
        standings.put(box, new Result(true, true, unconfirmedMillis, false));
    }

    void saysOfOwner(String box, boolean silent)
    {
        standings.put(box, new Result(true, false, 0, silent));
    }

    @Override
    public Set<String> peers()
    {
        return peers;
    }

    @Override
    public Result probe(String box, String owner, int waitMillis) throws InterruptedException
    {
        holds.add(waitMillis);
        Thread.sleep(unreachable.contains(box) ? UNREACHED_MILLIS : CALL_MILLIS);
        asked.incrementAndGet();
        return standings.getOrDefault(box, Result.UNREACHED);
    }
}
