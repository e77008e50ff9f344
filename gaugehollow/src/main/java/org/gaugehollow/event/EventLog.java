/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes numbered events to the log and keeps the latest in memory. */
public final class EventLog
{
    private static final Logger LOG = LogManager.getLogger(EventLog.class);
    /** Maximum number of events kept. */
    public static final int CAPACITY = 4096;

    private final String process;
    private final HybridClock clock;
    private final Deque<Event> recentEvents = new ArrayDeque<>();
    private final Optional<Metrics> metrics;

    /**
     * @param process name of this process
     * @param clock clock for event times
     */
    public EventLog(String process, HybridClock clock)
    {
        this(process, clock, Optional.empty());
    }

    /**
     * @param process name of this process
     * @param clock clock for event times
     * @param metrics counts the events by name, if present
     */
    public EventLog(String process, HybridClock clock, Optional<Metrics> metrics)
    {
        this.process = process;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** @return name of this process */
    public String process()
    {
        return process;
    }

    /** @return clock for event times */
    public HybridClock clock()
    {
        return clock;
    }

    /**
     * Records an event.
     *
     * @param type event type
     * @param subject id of the object concerned
     * @param text human-readable details; may be empty
     */
    public void record(EventType type, String subject, String text)
    {
        Event event = new Event(clock.next(), process, type.number(), type.name(), subject, text);
        synchronized (recentEvents)
        {
            if (recentEvents.size() == CAPACITY)
            {
                recentEvents.removeFirst();
            }
            recentEvents.addLast(event);
        }
        metrics.ifPresent(registry -> registry.recordEvent(type));
        LOG.log(type.level(), "E{} {} [{}] {} {}", type.number(), type.name(), process, subject, text);
    }

    /**
     * @param after hybrid time; only later events are returned
     * @return matching events, oldest first
     */
    public List<Event> since(long after)
    {
        synchronized (recentEvents)
        {
            List<Event> events = new ArrayList<>();
            for (Event event : recentEvents)
            {
                if (event.time() > after)
                {
                    events.add(event);
                }
            }
            return events;
        }
    }
}
