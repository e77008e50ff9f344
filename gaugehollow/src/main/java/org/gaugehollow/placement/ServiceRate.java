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
    private static final double SMOOTHING_FACTOR = 0.05;

    private double meanIntervalNanos;
    private long lastReleaseNanos;
    private boolean tasksWaiting;

    /**
     * The first task begins to wait: only from here on do the times between releases say how fast the
     * cell is.
     */
    void onQueueNonEmpty(long nowNanos)
    {
        tasksWaiting = true;
        lastReleaseNanos = nowNanos;
    }

    /** No task waits any more. */
    void onQueueEmpty()
    {
        tasksWaiting = false;
    }

    /** A task ended, and with it a place became free. */
    void onRelease(long nowNanos)
    {
        if (!tasksWaiting)
        {
            return;
        }
        double intervalNanos = nowNanos - lastReleaseNanos;
        meanIntervalNanos = meanIntervalNanos == 0
                ? intervalNanos
                : meanIntervalNanos + (intervalNanos - meanIntervalNanos) * SMOOTHING_FACTOR;
        lastReleaseNanos = nowNanos;
    }

    /** How long a task waits behind so many others, 0 while nothing is known. */
    long estimateWaitNanos(int tasksAhead)
    {
        return (long) (meanIntervalNanos * tasksAhead);
    }
}
