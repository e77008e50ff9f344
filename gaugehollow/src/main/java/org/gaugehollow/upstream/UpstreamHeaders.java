/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

/** The headers between a box and an upstream, and between a caller and a box. */
public final class UpstreamHeaders
{
    /**
     * The task's id; an upstream that sends it back may get the next request on the same connection.
     */
    public static final String TASK = "Gaugehollow-Task";
    /** The epoch of the box's ownership, the fencing token of a start. */
    public static final String EPOCH = "Gaugehollow-Epoch";
    /** What the task takes, as {@code slots=1;cpuMillis=0;memoryMib=0;accelerators=0}. */
    public static final String NEEDS = "Gaugehollow-Needs";
    /** The team. */
    public static final String TEAM = "Gaugehollow-Team";
    /** On a refusal: the request surely was not run, and why. */
    public static final String NOT_RUN = "Gaugehollow-Not-Run";
    /** The box that answered. */
    public static final String BOX = "Gaugehollow-Box";
    /** The upstream that ran the request. */
    public static final String UPSTREAM = "Gaugehollow-Upstream";
    /** What is known of the request: answered, not-run or unknown. */
    public static final String OUTCOME = "Gaugehollow-Outcome";
    /** The numbered result code. */
    public static final String CODE = "Gaugehollow-Code";
    /** How long the caller waits, in milliseconds. */
    public static final String TIMEOUT = "Gaugehollow-Timeout-Millis";
    /** The key of a request that may not be repeated. */
    public static final String KEY = "Idempotency-Key";
    /** When the caller made the key, in milliseconds since 1970. */
    public static final String KEY_ISSUED = "Gaugehollow-Key-Issued-Millis";

    /** The number of this ask for a key; 1 says that the caller never sent the key before. */
    public static final String ATTEMPT = "Gaugehollow-Attempt";

    private UpstreamHeaders()
    {
    }
}
