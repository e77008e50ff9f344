/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** What a load run saw of one workload. Thread-safe. */
final class LoadResult
{
    private static final long LONGEST_MICROS = 600_000_000L;
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final double P999 = 99.9;

    /** The figures of one workload, times in milliseconds from the moment a request was due. */
    record Summary(String workload, long offered, long answered, double p50Millis, double p99Millis,
            double p999Millis, double maxMillis, Map<String, Integer> codes)
    {
    }

    private final Histogram answeredMicros = new Histogram(LONGEST_MICROS, DIGITS);
    private final Map<String, Integer> codes = new TreeMap<>();
    private long offered;

    synchronized void offered()
    {
        offered++;
    }

    synchronized void ended(String code, boolean answered, long micros)
    {
        codes.merge(code, 1, Integer::sum);
        if (answered)
        {
            answeredMicros.recordValue(Math.min(micros, LONGEST_MICROS));
        }
    }

    synchronized Summary summary(String workload)
    {
        return new Summary(workload, offered, answeredMicros.getTotalCount(), millis(MEDIAN), millis(P99),
                millis(P999), answeredMicros.getMaxValue() / MICROS_PER_MILLI, new TreeMap<>(codes));
    }

    private double millis(double percentile)
    {
        return answeredMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
