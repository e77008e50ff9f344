/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.TimeUnit;

/**
 * Requests to the advice service for a step without an answer.
 *
 * @param failedRequests number of requests that failed since the last answer
 * @param sinceNanos monotonic time of the first request after the last answer
 * @param isPending whether a request waits for its answer
 * @param requestedNanos monotonic time of the newest request
 */
record UnansweredAdvice(int failedRequests, long sinceNanos, boolean isPending, long requestedNanos)
{
    /** Describes the requests for the log. */
    String describe(long nowNanos)
    {
        String pending = isPending
                ? ", one is pending for " + TimeUnit.NANOSECONDS.toMillis(nowNanos - requestedNanos) + " ms"
                : "";
        return "no advice since " + TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos) + " ms, "
                + failedRequests + " requests failed" + pending;
    }
}
