/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.concurrent.TimeUnit;

/**
 * Spreads the returns of refused callers. Answers the wave of callers that a common delay would
 * bring back at the same moment: each second gets a limited number of returns, and those refused
 * first return first. Keeps one count for each of the next seconds. Not thread-safe.
 */
public final class RetrySchedule
{
    /** Longest delay, in seconds; callers give up after a few attempts. */
    static final int MAX_DELAY_SECONDS = 5;

    private final TimeSlots returns = new TimeSlots(MAX_DELAY_SECONDS + 1);

    /**
     * Returns the delay after which a refused caller should return.
     *
     * @param earliestMillis expected time until the job would be in time, in milliseconds
     * @param maxMillis time for which the caller still waits for an answer, in milliseconds
     * @param returnsPerSecond number of returns that this box can accept a second
     * @param nowNanos the monotonic time, in nanoseconds
     * @return delay in whole seconds, at least 1
     */
    public int delaySeconds(long earliestMillis, long maxMillis, double returnsPerSecond, long nowNanos)
    {
        long nowSecond = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
        int max = (int) Math.clamp(maxMillis / TimeUnit.SECONDS.toMillis(1), 1, MAX_DELAY_SECONDS);
        long ceiling = Math.ceilDiv(earliestMillis, TimeUnit.SECONDS.toMillis(1));
        int earliest = (int) Math.clamp(ceiling, 1, max);
        int chosen = firstFree(nowSecond, earliest, max, Math.max(1, returnsPerSecond));
        returns.add(nowSecond + chosen, 1);
        return chosen;
    }

    /** Returns the first delay whose second is not full, or the one with the fewest returns. */
    private int firstFree(long nowSecond, int earliest, int max, double limit)
    {
        int fewest = max;
        for (int delay = earliest; delay <= max; delay++)
        {
            long count = returns.get(nowSecond + delay);
            if (count < limit)
            {
                return delay;
            }
            fewest = count < returns.get(nowSecond + fewest) ? delay : fewest;
        }
        return fewest;
    }
}
