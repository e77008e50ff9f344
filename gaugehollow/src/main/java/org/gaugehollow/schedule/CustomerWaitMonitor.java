/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;

/**
 * Logs when work of a customer starts and stops waiting for one reason, with one pair of events per
 * wait period regardless of the number of plans.
 */
final class CustomerWaitMonitor
{
    /** Minimum time without waiting work before a wait period ends. */
    private static final long MIN_QUIET_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Monotonic times at which a customer's work was first and last seen waiting. */
    private record WaitPeriod(long firstNanos, long lastNanos)
    {
    }

    private final EventLog events;
    private final EventType began;
    private final EventType ended;
    private final Map<String, WaitPeriod> waitPeriods = new HashMap<>();

    /**
     * @param events log for the wait periods
     * @param began the event that begins a wait period
     * @param ended the event that ends it
     */
    CustomerWaitMonitor(EventLog events, EventType began, EventType ended)
    {
        this.events = events;
        this.began = began;
        this.ended = ended;
    }

    /**
     * Updates the wait periods after a planning round.
     *
     * @param waiting details of the wait, by customer whose work waits
     * @param nowNanos the monotonic time, in nanoseconds
     */
    void onPlan(Map<String, String> waiting, long nowNanos)
    {
        waiting.forEach((customer, details) -> recordWaiting(customer, details, nowNanos));
        Iterator<Map.Entry<String, WaitPeriod>> iterator = waitPeriods.entrySet().iterator();
        while (iterator.hasNext())
        {
            Map.Entry<String, WaitPeriod> entry = iterator.next();
            if (nowNanos - entry.getValue().lastNanos() > MIN_QUIET_NANOS)
            {
                long millis = TimeUnit.NANOSECONDS
                        .toMillis(entry.getValue().lastNanos() - entry.getValue().firstNanos());
                events.record(ended, entry.getKey(), "after " + millis + " ms");
                iterator.remove();
            }
        }
    }

    private void recordWaiting(String customer, String details, long nowNanos)
    {
        WaitPeriod previous = waitPeriods.get(customer);
        if (previous == null)
        {
            events.record(began, customer, details);
        }
        waitPeriods.put(customer,
                new WaitPeriod(previous == null ? nowNanos : previous.firstNanos(), nowNanos));
    }
}
