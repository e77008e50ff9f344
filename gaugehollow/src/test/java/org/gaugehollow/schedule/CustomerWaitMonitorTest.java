/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.Event;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.HybridClock;
import org.junit.jupiter.api.Test;

/** Guards against repeated log events while a customer's work waits. */
class CustomerWaitMonitorTest
{
    private static final Map<String, String> NORTH = Map.of("north", "running: 1 task");

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final CustomerWaitMonitor monitor = new CustomerWaitMonitor(events, EventType.QUOTA_REACHED,
            EventType.QUOTA_LEFT);

    private List<String> logged()
    {
        return events.since(0).stream().map(Event::name).toList();
    }

    private void plan(Map<String, String> atQuota, long millis)
    {
        monitor.onPlan(atQuota, TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void oneWaitPeriodLogsTwoEvents()
    {
        for (int millis = 0; millis < 5_000; millis += 10)
        {
            plan(millis % 400 < 200 ? NORTH : Map.of(), millis);
        }
        assertThat(logged()).containsExactly("QUOTA_REACHED");
        plan(Map.of(), 7_000);
        plan(Map.of(), 7_010);
        assertThat(logged()).containsExactly("QUOTA_REACHED", "QUOTA_LEFT").inOrder();
    }
}
