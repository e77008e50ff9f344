/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock. A time has milliseconds since the epoch in the upper 48 bits and a counter
 * in the lower 16 bits, so that an event always has a later time than the events that caused it.
 */
public final class HybridClock
{
    private static final int COUNTER_BITS = 16;

    private final LongSupplier wallMillis;
    private final AtomicLong last = new AtomicLong();

    /**
     * @param wallMillis supplies milliseconds since the epoch
     */
    public HybridClock(LongSupplier wallMillis)
    {
        this.wallMillis = wallMillis;
    }

    /** @return time later than all times returned or observed before */
    public long next()
    {
        long wall = wallMillis.getAsLong() << COUNTER_BITS;
        return last.updateAndGet(previous -> Math.max(previous + 1, wall));
    }

    /**
     * @param time time received from another process
     */
    public void observe(long time)
    {
        last.accumulateAndGet(time, Math::max);
    }

    /**
     * @param time hybrid time
     * @return milliseconds since the epoch
     */
    public static long millisOf(long time)
    {
        return time >>> COUNTER_BITS;
    }
}
