/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.time.SteadyClock;

/**
 * A caller's request on its way through the boxes.
 *
 * @param task its id
 * @param team the caller's team
 * @param workload the workload asked for
 * @param key its key, or empty
 * @param keyIssuedAt when the caller made the key, in milliseconds since 1970; 0 where it did not
 *            say
 * @param deadlineNanos when the caller stops waiting, on this box's monotonic clock
 * @param contentType the body's media type
 * @param body the body
 * @param hops how many boxes passed it on
 * @param firstAttempt whether the caller says that it never sent the key before
 */
record CallerRequest(String task, String team, String workload, String key, long keyIssuedAt,
        long deadlineNanos, String contentType, byte[] body, int hops, boolean firstAttempt)
{
    boolean hasKey()
    {
        return !key.isEmpty();
    }

    long remainingMillis()
    {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - SteadyClock.nanos()));
    }

    boolean isExpired()
    {
        return deadlineNanos - SteadyClock.nanos() <= 0;
    }

    CallerRequest withDeadline(long newDeadlineNanos)
    {
        return new CallerRequest(task, team, workload, key, keyIssuedAt, newDeadlineNanos, contentType, body,
                hops, firstAttempt);
    }
}
