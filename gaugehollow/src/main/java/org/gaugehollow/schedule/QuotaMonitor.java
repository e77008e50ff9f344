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
import org.gaugehollow.model.ComputeResources;

/**
 * Logs when work of a customer starts and stops waiting for its quota, with one pair of events per
 * wait period regardless of the number of plans.
 */
final class QuotaMonitor
{
    /** Minimum time without waiting work before a wait period ends. */
    private static final long MIN_QUIET_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Monotonic times at which a customer's work was first and last seen waiting. */
    private record WaitPeriod(long firstNanos, long lastNanos)
    {
    }

    private final EventLog events;
    private final Map<String, WaitPeriod> waitPeriods = new HashMap<>();

    QuotaMonitor(EventLog events)
    {
        this.events = events;
    }

    /**
     * Updates the wait periods after a planning round.
     *
     * @param atQuota the compute resources in use, by customer whose work waits for its quota
     * @param nowNanos the monotonic time, in nanoseconds
     */
    void onPlan(Map<String, ComputeResources> atQuota, long nowNanos)
    {
        atQuota.forEach((customer, running) -> recordWaiting(customer, running, nowNanos));
        Iterator<Map.Entry<String, WaitPeriod>> iterator = waitPeriods.entrySet().iterator();
        while (iterator.hasNext())
        {
            Map.Entry<String, WaitPeriod> entry = iterator.next();
            if (nowNanos - entry.getValue().lastNanos() > MIN_QUIET_NANOS)
            {
                long millis = TimeUnit.NANOSECONDS
                        .toMillis(entry.getValue().lastNanos() - entry.getValue().firstNanos());
                events.record(EventType.QUOTA_LEFT, entry.getKey(), "after " + millis + " ms");
                iterator.remove();
            }
        }
    }

    private void recordWaiting(String customer, ComputeResources running, long nowNanos)
    {
        WaitPeriod previous = waitPeriods.get(customer);
        if (previous == null)
        {
            events.record(EventType.QUOTA_REACHED, customer, "running: " + running);
        }
        waitPeriods.put(customer,
                new WaitPeriod(previous == null ? nowNanos : previous.firstNanos(), nowNanos));
    }
}
