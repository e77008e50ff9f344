/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures how much work of each service is completed a second. Answers the load of a full cell,
 * whose waiting jobs start only as fast as running tasks complete. Not thread-safe.
 */
public final class CompletionRate
{
    /** Time over which the rate is measured; several runs of a typical task. */
    static final long WINDOW_MILLIS = 4_000;
    private static final long SLOT_MILLIS = 250;
    private static final int SLOTS = (int) (WINDOW_MILLIS / SLOT_MILLIS);

    private final Map<String, TimeSlots> services = new HashMap<>();

    /**
     * Adds a completed task.
     *
     * @param service the service that ran it
     * @param coreMillis estimated work of the task, in core-milliseconds
     * @param nowNanos the monotonic time, in nanoseconds
     */
    public void add(String service, long coreMillis, long nowNanos)
    {
        services.computeIfAbsent(service, name -> new TimeSlots(SLOTS)).add(slotNumber(nowNanos), coreMillis);
    }

    /**
     * @param service a service
     * @param nowNanos the monotonic time, in nanoseconds
     * @return its completed work in core-milliseconds a second
     */
    public long perSecond(String service, long nowNanos)
    {
        TimeSlots slots = services.get(service);
        return slots == null
                ? 0
                : slots.sumUntil(slotNumber(nowNanos)) * TimeUnit.SECONDS.toMillis(1) / WINDOW_MILLIS;
    }

    private static long slotNumber(long nowNanos)
    {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos) / SLOT_MILLIS;
    }
}
