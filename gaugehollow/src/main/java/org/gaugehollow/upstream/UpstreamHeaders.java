/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

/** HTTP headers between boxes and upstreams, and between callers and boxes. */
public final class UpstreamHeaders
{
    /** The id of the task. A connection is reused only if the upstream returns this header. */
    public static final String TASK = "Gaugehollow-Task";
    /** The epoch of the ownership, used as fencing token. */
    public static final String EPOCH = "Gaugehollow-Epoch";
    /** The required resources, as {@code slots=1;cpuMillis=0;memoryMib=0;accelerators=0}. */
    public static final String NEEDS = "Gaugehollow-Needs";
    /** The team of the caller. */
    public static final String TEAM = "Gaugehollow-Team";
    /** The reason why the upstream certainly did not run the request. */
    public static final String NOT_RUN = "Gaugehollow-Not-Run";
    /** The box that answered. */
    public static final String BOX = "Gaugehollow-Box";
    /** The upstream that ran the request. */
    public static final String UPSTREAM = "Gaugehollow-Upstream";
    /** The outcome of the request: answered, not-run or unknown. */
    public static final String OUTCOME = "Gaugehollow-Outcome";
    /** The number of the result code. */
    public static final String CODE = "Gaugehollow-Code";
    /** The time that the caller waits, in milliseconds. */
    public static final String TIMEOUT = "Gaugehollow-Timeout-Millis";
    /** The idempotency key of a request that is not repeatable. */
    public static final String KEY = "Idempotency-Key";
    /** The time when the caller created the key, in milliseconds since 1970. */
    public static final String KEY_ISSUED = "Gaugehollow-Key-Issued-Millis";

    /**
     * The number of the attempt for a key; 1 declares that the caller never sent the key before.
     */
    public static final String ATTEMPT = "Gaugehollow-Attempt";

    private UpstreamHeaders()
    {
    }
}
