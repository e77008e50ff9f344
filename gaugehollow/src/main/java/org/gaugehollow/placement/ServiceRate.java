/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

/**
 * How fast waiting tasks get their turn, from the times between releases while tasks wait. Not
 * thread-safe: its engine guards it.
 */
final class ServiceRate
{
    private static final double NEWEST_SHARE = 0.05;

    private double meanNanos;
    private long lastAt;
    private boolean counting;

    /**
     * The first task begins to wait: only from here on do the times between releases say how fast the
     * cell is.
     */
    void waitingBegan(long now)
    {
        counting = true;
        lastAt = now;
    }

    /** No task waits any more. */
    void waitingEnded()
    {
        counting = false;
    }

    /** A task ended, and with it a place became free. */
    void released(long now)
    {
        if (!counting)
        {
            return;
        }
        double gap = now - lastAt;
        meanNanos = meanNanos == 0 ? gap : meanNanos + (gap - meanNanos) * NEWEST_SHARE;
        lastAt = now;
    }

    /** How long a task waits behind so many others, 0 while nothing is known. */
    long estimateNanos(int ahead)
    {
        return (long) (meanNanos * ahead);
    }
}
