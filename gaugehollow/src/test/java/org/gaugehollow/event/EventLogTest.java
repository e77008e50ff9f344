/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.api.Test;

/** Tests that events are kept up to the capacity and counted. */
class EventLogTest
{
    private final Metrics metrics = new Metrics();
    private final EventLog events = new EventLog("box", new HybridClock(() -> 1L), Optional.of(metrics));

    @Test
    void eventsAreCountedByName()
    {
        events.record(EventType.TASK_GIVEN_UP, "task", "");
        events.record(EventType.TASK_GIVEN_UP, "another", "");
        String text = new String(metrics.scrape(), StandardCharsets.UTF_8);
        assertThat(text).contains("gaugehollow_events_total{event=\"TASK_GIVEN_UP\"} 2.0");
    }

    @Test
    void onlyNewestEventsAreKept()
    {
        for (int i = 0; i <= EventLog.CAPACITY; i++)
        {
            events.record(EventType.TASK_PLACED, "task-" + i, "");
        }
        assertThat(events.since(Long.MIN_VALUE)).hasSize(EventLog.CAPACITY);
        assertThat(events.since(Long.MIN_VALUE).getFirst().subject()).isEqualTo("task-1");
    }
}
