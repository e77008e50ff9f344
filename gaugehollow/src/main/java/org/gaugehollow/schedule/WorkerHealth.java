/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashSet;
import java.util.Set;

/**
 * Health of a worker as derived from the results of its runs. A worker on which runs of several
 * jobs fail in succession is avoided unless no other worker has free capacity.
 */
final class WorkerHealth
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Number of jobs with failed runs at which a worker is avoided. */
    private static final int MIN_FAILED_JOBS = 2;
    private static final long REFUSAL_AVOID_MILLIS = 500;
    private static final long FAULT_AVOID_MILLIS = 4_000;
    private static final long ON_TIME_MILLIS = 700;

    private final Set<String> failedJobs = new HashSet<>();
    private boolean proven;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private long onTimeUntilNanos = Long.MIN_VALUE;

    /** Records the success of a run. */
    void recordSuccess()
    {
        failedJobs.clear();
        proven = true;
        avoidUntilNanos = Long.MIN_VALUE;
    }

    /** Records the failure of a run. */
    void recordFailure(String job, long nowNanos)
    {
        failedJobs.add(job);
        proven = false;
        if (failedJobs.size() >= MIN_FAILED_JOBS)
        {
            avoidUntilNanos = nowNanos + FAULT_AVOID_MILLIS * NANOS_PER_MILLI;
        }
    }

    /** Records a command that was refused or not answered. */
    void recordRefusal(long nowNanos)
    {
        avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + REFUSAL_AVOID_MILLIS * NANOS_PER_MILLI);
    }

    /** Records a stalled run. */
    void recordStall(long nowNanos)
    {
        proven = false;
        avoidUntilNanos = nowNanos + FAULT_AVOID_MILLIS * NANOS_PER_MILLI;
    }

    /** Records that a run takes about as long as other runs of its step. */
    void recordOnTime(long nowNanos)
    {
        onTimeUntilNanos = nowNanos + ON_TIME_MILLIS * NANOS_PER_MILLI;
    }

    boolean wasOnTime(long nowNanos)
    {
        return nowNanos < onTimeUntilNanos;
    }

    /** Records that runs take much longer on this worker than elsewhere. */
    void recordSlow(long nowNanos)
    {
        proven = false;
        avoidUntilNanos = nowNanos + FAULT_AVOID_MILLIS * NANOS_PER_MILLI;
    }

    boolean isAvoided(long nowNanos)
    {
        return nowNanos < avoidUntilNanos;
    }

    /** Returns whether the worker's latest run ended successfully. */
    boolean isProven()
    {
        return proven;
    }

    boolean hasFailures()
    {
        return !failedJobs.isEmpty();
    }
}
