/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock: milliseconds since 1970 in the upper 48 bits, a counter in the lower 16,
 * so that an event caused by another one always carries the later time.
 */
public final class HybridClock
{
    private static final int COUNTER_BITS = 16;

    private final LongSupplier wallMillis;
    private final AtomicLong last = new AtomicLong();

    /**
     * @param wallMillis the wall clock
     */
    public HybridClock(LongSupplier wallMillis)
    {
        this.wallMillis = wallMillis;
    }

    /** @return a time later than every time given or seen before */
    public long next()
    {
        long wall = wallMillis.getAsLong() << COUNTER_BITS;
        return last.updateAndGet(previous -> Math.max(previous + 1, wall));
    }

    /**
     * @param seen a time that came from another process
     */
    public void observe(long seen)
    {
        last.accumulateAndGet(seen, Math::max);
    }

    /**
     * @param time a hybrid time
     * @return its milliseconds since 1970
     */
    public static long millisOf(long time)
    {
        return time >>> COUNTER_BITS;
    }
}
