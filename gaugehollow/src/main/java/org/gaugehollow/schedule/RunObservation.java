/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.TimeUnit;

/**
 * Progress of a task's latest run as reported by heartbeats. Guarded by the lock of the cell state.
 */
final class RunObservation
{
    /** Minimum time over which speed is measured. */
    private static final long MIN_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Progress assumed if none was reported. */
    private static final double MIN_PROGRESS_PERCENT = 0.5;

    private int percent;
    private double gauge;
    private long startedNanos;
    private long lastProgressNanos;
    private long observedNanos;
    private int samplePercent;
    private long sampleNanos;

    /** Resets the observation for a newly planned start. */
    void reset(long nowNanos)
    {
        percent = 0;
        gauge = 0;
        startedNanos = nowNanos;
        lastProgressNanos = nowNanos;
        observedNanos = nowNanos;
        samplePercent = 0;
        sampleNanos = nowNanos;
    }

    /** Records that the worker started the run. */
    void onStarted(long nowNanos)
    {
        startedNanos = nowNanos;
        lastProgressNanos = nowNanos;
        sampleNanos = nowNanos;
    }

    /**
     * Records the state of the run in a heartbeat.
     *
     * @param newPercent the finished share of the run, or for a long-running task its share of full
     *            speed
     * @param newGauge the value that the worker reports for the run
     * @param nowNanos the monotonic time, in nanoseconds
     */
    void observe(int newPercent, double newGauge, long nowNanos)
    {
        if (observedNanos - sampleNanos >= MIN_SAMPLE_NANOS)
        {
            samplePercent = percent;
            sampleNanos = observedNanos;
        }
        if (newPercent != percent)
        {
            percent = newPercent;
            lastProgressNanos = nowNanos;
        }
        gauge = newGauge;
        observedNanos = nowNanos;
    }

    int percent()
    {
        return percent;
    }

    double gauge()
    {
        return gauge;
    }

    long startedNanos()
    {
        return startedNanos;
    }

    /** Returns the monotonic time of the last change of the percentage. */
    long lastProgressNanos()
    {
        return lastProgressNanos;
    }

    /** Returns the time for which heartbeats have shown the run, in milliseconds. */
    long observedMillis()
    {
        return millisSinceStart(observedNanos);
    }

    /**
     * Returns the time from the start of the run to the given monotonic time, in milliseconds; 0 if
     * that time is earlier.
     */
    long millisSinceStart(long nanos)
    {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos - startedNanos));
    }

    /** Returns whether the recent speed is measured from a reported percentage. */
    boolean hasEarlierSample()
    {
        return samplePercent > 0;
    }

    /**
     * Returns the projected duration of a whole run at its recent speed, in milliseconds, or 0 if the
     * observed time is too short.
     */
    double projectedMillis()
    {
        double sampleMillis = TimeUnit.NANOSECONDS.toMillis(observedNanos - sampleNanos);
        double progressPercent = Math.max(percent - samplePercent, MIN_PROGRESS_PERCENT);
        return observedNanos - sampleNanos >= MIN_SAMPLE_NANOS
                ? sampleMillis * Task.FULL_PERCENT / progressPercent
                : 0;
    }

    /**
     * Returns the remaining time of the run at its average speed, in milliseconds.
     *
     * @param estimateMillis the estimated duration of a whole run, used if no progress was observed
     * @param nowNanos the monotonic time, in nanoseconds
     */
    long remainingMillis(long estimateMillis, long nowNanos)
    {
        long ranMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos);
        if (percent <= 0)
        {
            return Math.max(0, estimateMillis - ranMillis);
        }
        return ranMillis * (Task.FULL_PERCENT - percent) / percent;
    }
}
