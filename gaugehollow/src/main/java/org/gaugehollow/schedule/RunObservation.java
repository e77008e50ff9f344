/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.TimeUnit;

/** What the looks at its worker show of a task's newest run. Guarded by the ledger's monitor. */
final class RunObservation
{
    /** Speed is taken over at least this time. */
    private static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** What counts as done where the looks show no progress. */
    private static final double LEAST_PERCENT = 0.5;

    private int percent;
    private double gauge;
    private long startedNanos;
    private long movedNanos;
    private long observedNanos;
    private int samplePercent;
    private long sampleNanos;

    /** A start was decided; nothing was seen of it yet. */
    void ordered(long nowNanos)
    {
        percent = 0;
        gauge = 0;
        startedNanos = nowNanos;
        movedNanos = nowNanos;
        observedNanos = nowNanos;
        samplePercent = 0;
        sampleNanos = nowNanos;
    }

    /** The worker has the run. */
    void begun(long nowNanos)
    {
        startedNanos = nowNanos;
        movedNanos = nowNanos;
        sampleNanos = nowNanos;
    }

    /**
     * Takes note of what a look shows.
     *
     * @param newPercent how much of the run is done, or the share of its speed for one that lasts
     * @param newGauge the worker's figure for the run
     * @param nowNanos a monotonic clock
     */
    void observe(int newPercent, double newGauge, long nowNanos)
    {
        if (observedNanos - sampleNanos >= SAMPLE_NANOS)
        {
            samplePercent = percent;
            sampleNanos = observedNanos;
        }
        if (newPercent != percent)
        {
            percent = newPercent;
            movedNanos = nowNanos;
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

    /** When a look last showed another percentage than the one before. */
    long lastProgressNanos()
    {
        return movedNanos;
    }

    /** How long the looks have shown the run at work, in milliseconds. */
    long seenMillis()
    {
        return millisUntil(observedNanos);
    }

    /** How long after the run began a moment is, in milliseconds; 0 for one before. */
    long millisUntil(long nanos)
    {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos - startedNanos));
    }

    /**
     * How long a whole run takes at the speed that the newest looks show, in milliseconds; 0 if they
     * show too little.
     */
    double millisAtPresentSpeed()
    {
        double millis = TimeUnit.NANOSECONDS.toMillis(observedNanos - sampleNanos);
        double done = Math.max(percent - samplePercent, LEAST_PERCENT);
        return observedNanos - sampleNanos >= SAMPLE_NANOS ? millis * Task.WHOLE / done : 0;
    }

    /**
     * How long the run still takes if it goes on as it did, in milliseconds.
     *
     * @param estimateMillis how long a whole run takes, where the looks show no progress yet
     * @param nowNanos a monotonic clock
     */
    long millisToEnd(long estimateMillis, long nowNanos)
    {
        long ran = TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos);
        if (percent <= 0)
        {
            return Math.max(0, estimateMillis - ran);
        }
        return ran * (Task.WHOLE - percent) / percent;
    }
}
