/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

/**
 * Tracks the health of an upstream. A failed connection or several consecutive failures take it out
 * of service. The first answered probe returns it to service with one slot; each further probe
 * doubles the allowed slots. Thread-safe.
 */
public final class UpstreamHealth
{
    private static final int FAILURE_THRESHOLD = 3;

    private final int totalSlots;
    private int failures;
    private int allowedSlots;

    /**
     * Creates the state of an upstream in service.
     *
     * @param totalSlots the number of slots of the upstream
     */
    public UpstreamHealth(int totalSlots)
    {
        this.totalSlots = totalSlots;
        this.allowedSlots = totalSlots;
    }

    /** Records a request with a complete answer. */
    public synchronized void recordSuccess()
    {
        failures = 0;
    }

    /**
     * Records a failed request.
     *
     * @return whether this failure took the upstream out of service
     */
    public synchronized boolean recordFailure()
    {
        failures++;
        return failures >= FAILURE_THRESHOLD && takeOutOfService();
    }

    /**
     * Records that no connection to the upstream could be opened.
     *
     * @return whether this failure took the upstream out of service
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
     * Records an answered probe.
     *
     * @return whether this probe returned the upstream to service
     */
    public synchronized boolean recordProbe()
    {
        boolean wasOutOfService = allowedSlots == 0;
        allowedSlots = wasOutOfService ? 1 : Math.min(totalSlots, allowedSlots * 2);
        return wasOutOfService;
    }

    /** @return the number of slots that may be used; 0 while the upstream is out of service */
    public synchronized int allowedSlots()
    {
        return allowedSlots;
    }
}
