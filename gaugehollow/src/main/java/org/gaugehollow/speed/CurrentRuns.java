/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

/** Current runs on one worker: their relative durations, steps and times of observation. */
final class CurrentRuns
{
    private final double[] logDurations;
    private final long[] steps;
    private final long[] nanos;
    private int count;

    /** @param capacity maximum number of runs; further ones are ignored */
    CurrentRuns(int capacity)
    {
        this.logDurations = new double[capacity];
        this.steps = new long[capacity];
        this.nanos = new long[capacity];
    }

    /** Returns the runs of both. */
    static CurrentRuns union(CurrentRuns first, CurrentRuns second)
    {
        CurrentRuns both = new CurrentRuns(first.count + second.count);
        both.addAll(first);
        both.addAll(second);
        return both;
    }

    private void addAll(CurrentRuns other)
    {
        for (int i = 0; i < other.count; i++)
        {
            add(other.logDurations[i], other.steps[i], other.nanos[i]);
        }
    }

    void add(double logDuration, long step, long nowNanos)
    {
        if (count < logDurations.length)
        {
            logDurations[count] = logDuration;
            steps[count] = step;
            nanos[count] = nowNanos;
            count++;
        }
    }

    /** Removes the runs that were observed before the given time. */
    void removeBefore(long earliestNanos)
    {
        int kept = 0;
        for (int i = 0; i < count; i++)
        {
            if (nanos[i] - earliestNanos >= 0)
            {
                logDurations[kept] = logDurations[i];
                steps[kept] = steps[i];
                nanos[kept] = nanos[i];
                kept++;
            }
        }
        count = kept;
    }

    void clear()
    {
        count = 0;
    }

    int size()
    {
        return count;
    }

    /** Returns the number of different steps, at most 2. */
    int stepCount()
    {
        for (int i = 1; i < count; i++)
        {
            if (steps[i] != steps[0])
            {
                return 2;
            }
        }
        return Math.min(count, 1);
    }

    /** Returns the lowest relative duration, infinity if there are no runs. */
    double fastest()
    {
        double lowest = Double.POSITIVE_INFINITY;
        for (int i = 0; i < count; i++)
        {
            lowest = Math.min(lowest, logDurations[i]);
        }
        return lowest;
    }

    double median()
    {
        return SampleWindow.median(logDurations, count);
    }
}
