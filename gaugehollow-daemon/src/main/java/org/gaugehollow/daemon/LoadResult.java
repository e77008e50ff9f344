/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** Collects the results of a load run for one workload. Thread-safe. */
final class LoadResult
{
    private static final long MAX_LATENCY_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double P999 = 99.9;

    /** Results of one workload; latencies are measured from the scheduled send time. */
    record Summary(String workload, long offered, long answered, double p50Millis, double p99Millis,
            double p999Millis, double maxMillis, Map<String, Integer> codes)
    {
    }

    private final Histogram answeredLatencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> codes = new TreeMap<>();
    private long offered;

    synchronized void recordOffered()
    {
        offered++;
    }

    synchronized void recordResult(String code, boolean answered, long micros)
    {
        codes.merge(code, 1, Integer::sum);
        if (answered)
        {
            answeredLatencyMicros.recordValue(Math.min(micros, MAX_LATENCY_MICROS));
        }
    }

    synchronized Summary summary(String workload)
    {
        return new Summary(workload, offered, answeredLatencyMicros.getTotalCount(), percentileMillis(P50),
                percentileMillis(P99), percentileMillis(P999),
                answeredLatencyMicros.getMaxValue() / MICROS_PER_MILLI, new TreeMap<>(codes));
    }

    private double percentileMillis(double percentile)
    {
        return answeredLatencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
