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

    private final Map<String, Standing> standings = new ConcurrentHashMap<>();
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

    void owns(String box, long unconfirmedMillis)
    {
        standings.put(box, new Standing(true, true, unconfirmedMillis, false));
    }

    void saysOfOwner(String box, boolean silent)
    {
        standings.put(box, new Standing(true, false, 0, silent));
    }

    @Override
    public Set<String> peers()
    {
        return peers;
    }

    @Override
    public Standing ask(String box, String owner, int waitMillis) throws InterruptedException
    {
        Thread.sleep(CALL_MILLIS);
        asked.incrementAndGet();
        return standings.getOrDefault(box, Standing.UNREACHED);
    }
}
