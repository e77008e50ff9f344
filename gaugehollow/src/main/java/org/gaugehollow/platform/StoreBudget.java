/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.function.LongSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/** Holds this box to its share of the calls that the platform's service takes. Thread-safe. */
public final class StoreBudget
{
    private static final double NANOS_PER_SECOND = 1e9;

    private final double callsPerSecond;
    private final double burst;
    private final LongSupplier nanoTime;
    private double tokens;
    private long refilledAt;

    /**
     * @param callsPerSecond the share
     * @param burst how many calls may come at once
     * @param nanoTime a monotonic clock
     */
    public StoreBudget(double callsPerSecond, double burst, LongSupplier nanoTime)
    {
        this.callsPerSecond = callsPerSecond;
        this.burst = burst;
        this.nanoTime = nanoTime;
        this.tokens = burst;
        this.refilledAt = nanoTime.getAsLong();
    }

    /**
     * Takes one call.
     *
     * @throws GaugehollowException with {@link ResultCode#STORE_BUDGET} if none is left; nothing was
     *             sent
     */
    public synchronized void acquire()
    {
        long now = nanoTime.getAsLong();
        tokens = Math.min(burst, tokens + (now - refilledAt) / NANOS_PER_SECOND * callsPerSecond);
        refilledAt = now;
        if (tokens < 1)
        {
            throw new GaugehollowException(ResultCode.STORE_BUDGET,
                    "this box's share of " + callsPerSecond + " calls a second is used up");
        }
        tokens--;
    }
}
