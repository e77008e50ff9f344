/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.time.SteadyClock;

/**
 * A request of a caller, as it is routed between boxes.
 *
 * @param task the id of the task
 * @param team the team of the caller
 * @param workload the requested workload
 * @param key the idempotency key, or empty
 * @param keyIssuedAt the time when the caller created the key, in milliseconds since 1970; 0 if
 *            unknown
 * @param deadlineNanos the time until which the caller waits, on the monotonic clock of this box
 * @param contentType the media type of the body
 * @param body the body
 * @param hops the number of boxes that forwarded the request
 * @param firstAttempt whether the caller declares that it never sent the key before
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
