/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Probe with results set by a test; a box without a result is unreachable. */
final class FakeOwnerProbe implements OwnerProbe
{
    private static final long CALL_MILLIS = 2;
    /** Duration of a call to an unreachable box. */
    private static final long UNREACHABLE_CALL_MILLIS = 450;

    private final Map<String, Result> results = new ConcurrentHashMap<>();
    private final Set<String> unreachable = ConcurrentHashMap.newKeySet();
    private final Set<Integer> holdMillis = ConcurrentHashMap.newKeySet();
    private final Set<String> peers;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger callsToFail = new AtomicInteger();

    FakeOwnerProbe(String... peers)
    {
        this.peers = Set.of(peers);
    }

    /** Returns the number of probes. */
    int callCount()
    {
        return calls.get();
    }

    /** Returns the longest hold time of a probe, in milliseconds. */
    int maxHoldMillis()
    {
        return holdMillis.stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Makes the given number of following probes fail unexpectedly. */
    void failCalls(int count)
    {
        callsToFail.set(count);
    }

    /** Makes probes of a box time out. */
    void setUnreachable(String box)
    {
        unreachable.add(box);
    }

    /** Lets a box answer no probe any more. */
    void setDead(String box)
    {
        results.remove(box);
    }

    void setOwner(String box, long unrenewedMillis)
    {
        results.put(box, new Result(true, true, unrenewedMillis, false));
    }

    void setOwnerUnresponsive(String box, boolean unresponsive)
    {
        results.put(box, new Result(true, false, 0, unresponsive));
    }

    @Override
    public Set<String> peers()
    {
        return peers;
    }

    @Override
    public Result probe(String box, String owner, int waitMillis) throws InterruptedException
    {
        holdMillis.add(waitMillis);
        Thread.sleep(unreachable.contains(box) ? UNREACHABLE_CALL_MILLIS : CALL_MILLIS);
        calls.incrementAndGet();
        if (callsToFail.getAndUpdate(count -> Math.max(0, count - 1)) > 0)
        {
            throw new IllegalStateException("unexpected");
        }
        return results.getOrDefault(box, Result.UNREACHED);
    }
}
