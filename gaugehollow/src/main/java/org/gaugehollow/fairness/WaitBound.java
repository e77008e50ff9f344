/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.fairness;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds customers that have waited too long for a start. Answers a customer whose share never falls
 * below that of the others, for example because its tasks run for days: without a bound, it would
 * not get another start while others have waiting work.
 *
 * @param <K> the type of what waits
 */
public final class WaitBound<K>
{
    /**
     * Time without a start after which a customer is overdue, in nanoseconds. Shorter than the 6 s
     * within which callers expect a task that lasts to run again.
     */
    public static final long MAX_WAIT_NANOS = 4_000_000_000L;

    private final Map<K, Long> waitingSince = new HashMap<>();

    /**
     * Returns whether a customer has waited too long.
     *
     * @param key what waits
     * @param nowNanos the monotonic time, in nanoseconds
     * @return whether it had waiting tasks and no start since more than the permitted time
     */
    public boolean isOverdue(K key, long nowNanos)
    {
        Long since = waitingSince.get(key);
        return since != null && nowNanos - since >= MAX_WAIT_NANOS;
    }

    /**
     * Updates the waits after a planning round.
     *
     * @param withoutStart all that has waiting tasks and got no start in the round
     * @param nowNanos the monotonic time, in nanoseconds
     */
    public void update(Set<K> withoutStart, long nowNanos)
    {
        waitingSince.keySet().retainAll(withoutStart);
        withoutStart.forEach(key -> waitingSince.putIfAbsent(key, nowNanos));
    }
}
