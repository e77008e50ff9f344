/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

/**
 * Whether an upstream gets work, by its own evidence. One refused connection or some failures in a
 * row take it out; answered probes let it back, with one slot first and twice as many after each.
 * Thread-safe.
 */
public final class UpstreamHealth
{
    private static final int FAILURE_THRESHOLD = 3;

    private final int totalSlots;
    private int failures;
    private int allowedSlots;

    /**
     * @param totalSlots how many slots the upstream has
     */
    public UpstreamHealth(int totalSlots)
    {
        this.totalSlots = totalSlots;
        this.allowedSlots = totalSlots;
    }

    /** A request was answered whole. */
    public synchronized void recordSuccess()
    {
        failures = 0;
    }

    /**
     * A request failed on the upstream.
     *
     * @return whether this took the upstream out
     */
    public synchronized boolean recordFailure()
    {
        failures++;
        return failures >= FAILURE_THRESHOLD && takeOutOfService();
    }

    /**
     * The upstream cannot be connected to.
     *
     * @return whether this took the upstream out
     */
    public synchronized boolean recordUnreachable()
    {
        return takeOutOfService();
    }

    private boolean takeOutOfService()
    {
        boolean wasInService = allowedSlots > 0;
        allowedSlots = 0;
        failures = 0;
        return wasInService;
    }

    /**
     * The upstream answered a probe.
     *
     * @return whether it was out and is let back with this
     */
    public synchronized boolean recordProbe()
    {
        boolean wasOutOfService = allowedSlots == 0;
        allowedSlots = wasOutOfService ? 1 : Math.min(totalSlots, allowedSlots * 2);
        return wasOutOfService;
    }

    /** @return how many slots may be used now; 0 where the upstream is out */
    public synchronized int allowedSlots()
    {
        return allowedSlots;
    }
}
