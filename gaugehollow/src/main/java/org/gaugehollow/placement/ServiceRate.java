/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

/**
 * Estimates waiting times from the intervals between releases, as an exponential moving average.
 * Intervals during which no task waits don't count, because they don't show how fast the cell is.
 * Not thread-safe: guarded by the engine's lock.
 */
final class ServiceRate
{
    private static final double SMOOTHING_FACTOR = 0.05;

    private double meanIntervalNanos;
    private long intervalStartNanos;
    private boolean tasksWaiting;

    /** Starts measuring when the first task is queued. */
    void onQueueNonEmpty(long nowNanos)
    {
        tasksWaiting = true;
        intervalStartNanos = nowNanos;
    }

    /** Stops measuring until the next task is queued. */
    void onQueueEmpty()
    {
        tasksWaiting = false;
    }

    /** Records the release of a placement. */
    void onRelease(long nowNanos)
    {
        if (!tasksWaiting)
        {
            return;
        }
        double intervalNanos = nowNanos - intervalStartNanos;
        meanIntervalNanos = meanIntervalNanos == 0
                ? intervalNanos
                : meanIntervalNanos + (intervalNanos - meanIntervalNanos) * SMOOTHING_FACTOR;
        intervalStartNanos = nowNanos;
    }

    /** Returns the estimated wait behind the given number of tasks, or 0 without measurements. */
    long estimateWaitNanos(int tasksAhead)
    {
        return (long) (meanIntervalNanos * tasksAhead);
    }
}
