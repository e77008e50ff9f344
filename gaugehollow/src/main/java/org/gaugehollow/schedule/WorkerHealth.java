/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashSet;
import java.util.Set;

/**
 * What the ends of runs say of one worker. A worker whose runs fail one after another, in different
 * jobs, gets work only when nothing else has room.
 */
final class WorkerHealth
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SUSPECT_AFTER = 2;
    private static final long REFUSED_MILLIS = 500;
    private static final long SUSPECT_MILLIS = 4_000;
    private static final long IN_TIME_MILLIS = 700;

    private final Set<String> failedJobs = new HashSet<>();
    private boolean proven;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private long inTimeUntilNanos = Long.MIN_VALUE;

    /** A run ended well. */
    void recordSuccess()
    {
        failedJobs.clear();
        proven = true;
        avoidUntilNanos = Long.MIN_VALUE;
    }

    /** A run failed. */
    void recordFailure(String job, long nowNanos)
    {
        failedJobs.add(job);
        proven = false;
        if (failedJobs.size() >= SUSPECT_AFTER)
        {
            avoidUntilNanos = nowNanos + SUSPECT_MILLIS * NANOS_PER_MILLI;
        }
    }

    /** It refused an order or left it unanswered. */
    void recordRefusal(long nowNanos)
    {
        avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + REFUSED_MILLIS * NANOS_PER_MILLI);
    }

    /** A run stood still there. */
    void recordStall(long nowNanos)
    {
        proven = false;
        avoidUntilNanos = nowNanos + SUSPECT_MILLIS * NANOS_PER_MILLI;
    }

    /** A run there takes about as long as others of its step take elsewhere. */
    void recordOnTime(long nowNanos)
    {
        inTimeUntilNanos = nowNanos + IN_TIME_MILLIS * NANOS_PER_MILLI;
    }

    boolean wasOnTime(long nowNanos)
    {
        return nowNanos < inTimeUntilNanos;
    }

    /** Everything takes much longer there than elsewhere. */
    void recordSlow(long nowNanos)
    {
        proven = false;
        avoidUntilNanos = nowNanos + SUSPECT_MILLIS * NANOS_PER_MILLI;
    }

    boolean isAvoided(long nowNanos)
    {
        return nowNanos < avoidUntilNanos;
    }

    /** Whether its newest end was a good one. */
    boolean isProven()
    {
        return proven;
    }

    boolean hasFailures()
    {
        return !failedJobs.isEmpty();
    }
}
