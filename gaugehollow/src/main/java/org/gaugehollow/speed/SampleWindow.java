/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

import java.util.Arrays;

/** The latest samples of a quantity, of which the median is used because it tolerates outliers. */
final class SampleWindow
{
    /** Range between the quartiles of a normal distribution, in standard deviations. */
    private static final double QUARTILE_RANGE_SIGMAS = 1.35;
    /** Standard error of a median relative to that of a mean, for a normal distribution. */
    private static final double MEDIAN_ERROR_FACTOR = 1.25;

    private final double[] samples;
    private int count;
    private int next;
    private double median;
    private double standardError;
    private boolean isStale;

    /** @param capacity maximum number of samples kept */
    SampleWindow(int capacity)
    {
        this.samples = new double[capacity];
    }

    void add(double sample)
    {
        samples[next] = sample;
        next = (next + 1) % samples.length;
        count = Math.min(count + 1, samples.length);
        isStale = true;
    }

    void clear()
    {
        count = 0;
        next = 0;
        median = 0;
        standardError = 0;
        isStale = false;
    }

    int size()
    {
        return count;
    }

    /** Returns the median of the samples, 0 if there are none. */
    double median()
    {
        refresh();
        return median;
    }

    /** Returns the standard error of the median, estimated from the quartiles. */
    double medianStandardError()
    {
        refresh();
        return standardError;
    }

    private void refresh()
    {
        if (!isStale)
        {
            return;
        }
        isStale = false;
        double[] sorted = Arrays.copyOf(samples, count);
        Arrays.sort(sorted);
        median = sorted[(count - 1) / 2];
        double quartileRange = sorted[3 * count / 4] - sorted[count / 4];
        standardError = quartileRange / QUARTILE_RANGE_SIGMAS * MEDIAN_ERROR_FACTOR / Math.sqrt(count);
    }

    /** Returns the lower median of the first values, 0 if there are none. */
    static double median(double[] values, int count)
    {
        if (count == 0)
        {
            return 0;
        }
        double[] sorted = Arrays.copyOf(values, count);
        Arrays.sort(sorted);
        return sorted[(count - 1) / 2];
    }
}
