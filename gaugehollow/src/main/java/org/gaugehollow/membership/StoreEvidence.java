/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * The newest time at which the store is known to have answered any box of the hall: this one, or
 * one whose word reached it through peers. It never goes back. Thread-safe.
 */
public final class StoreEvidence
{
    /** The age that says that no answer is known. */
    public static final long NEVER = -1L;

    private final LongSupplier nanoTime;
    private final AtomicLong newest;
    private final long startedAt;

    /**
     * @param nanoTime a monotonic clock
     */
    public StoreEvidence(LongSupplier nanoTime)
    {
        this.nanoTime = nanoTime;
        this.startedAt = nanoTime.getAsLong() - TimeUnit.DAYS.toNanos(365);
        this.newest = new AtomicLong(startedAt);
    }

    /** The store answered this box just now. */
    public void answered()
    {
        advanceTo(nanoTime.getAsLong());
    }

    /**
     * A peer's reply says how long ago the store answered it or a box it heard of.
     *
     * @param ageMillis the age at the reply, or {@link #NEVER}
     */
    public void heard(long ageMillis)
    {
        if (ageMillis >= 0)
        {
            advanceTo(nanoTime.getAsLong() - TimeUnit.MILLISECONDS.toNanos(ageMillis));
        }
    }

    /** @return when the store last answered anyone, as far as is known, on the monotonic clock */
    public long newestNanos()
    {
        return newest.get();
    }

    /** @return how long ago that was, or {@link #NEVER} */
    public long ageMillis()
    {
        long at = newest.get();
        return at == startedAt ? NEVER : TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - at);
    }

    private void advanceTo(long at)
    {
        newest.accumulateAndGet(at, (a, b) -> b - a > 0 ? b : a);
    }
}
