/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.function.LongSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/** Token bucket that limits the rate of store calls of this box. Thread-safe. */
public final class StoreBudget
{
    private static final double NANOS_PER_SECOND = 1e9;

    private final double callsPerSecond;
    private final double burst;
    private final LongSupplier nanoTime;
    private double tokens;
    private long lastRefillNanos;

    /**
     * @param callsPerSecond maximum average call rate
     * @param burst maximum number of calls in a burst
     * @param nanoTime a monotonic clock
     */
    public StoreBudget(double callsPerSecond, double burst, LongSupplier nanoTime)
    {
        this.callsPerSecond = callsPerSecond;
        this.burst = burst;
        this.nanoTime = nanoTime;
        this.tokens = burst;
        this.lastRefillNanos = nanoTime.getAsLong();
    }

    /**
     * Takes a token for one call.
     *
     * @throws GaugehollowException with {@link ResultCode#STORE_BUDGET} if no token is available
     */
    public synchronized void acquire()
    {
        long nowNanos = nanoTime.getAsLong();
        tokens = Math.min(burst, tokens + (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * callsPerSecond);
        lastRefillNanos = nowNanos;
        if (tokens < 1)
        {
            throw new GaugehollowException(ResultCode.STORE_BUDGET,
                    "store call limit of " + callsPerSecond + " calls per second exceeded");
        }
        tokens--;
    }
}
