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
 * Tells in the log when work of a customer begins to wait for its quota and when it no longer does:
 * two lines for each such time, however many plans it lasts.
 */
final class QuotaWatch
{
    /** A customer is off its quota once nothing has waited for it for so long. */
    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Since when a customer's work waits, and when it was last seen waiting. */
    private record Spell(long begunNanos, long seenNanos)
    {
    }

    private final EventLog events;
    private final Map<String, Spell> spells = new HashMap<>();

    QuotaWatch(EventLog events)
    {
        this.events = events;
    }

    /**
     * Takes note of a plan.
     *
     * @param atQuota the customers of which work waits for their quota, and what they have running
     * @param nowNanos a monotonic clock
     */
    void planned(Map<String, ComputeResources> atQuota, long nowNanos)
    {
        atQuota.forEach((customer, running) -> waits(customer, running, nowNanos));
        Iterator<Map.Entry<String, Spell>> known = spells.entrySet().iterator();
        while (known.hasNext())
        {
            Map.Entry<String, Spell> spell = known.next();
            if (nowNanos - spell.getValue().seenNanos() > CALM_NANOS)
            {
                long millis = TimeUnit.NANOSECONDS
                        .toMillis(spell.getValue().seenNanos() - spell.getValue().begunNanos());
                events.record(EventType.QUOTA_LEFT, spell.getKey(), "after " + millis + " ms");
                known.remove();
            }
        }
    }

    private void waits(String customer, ComputeResources running, long nowNanos)
    {
        Spell known = spells.get(customer);
        if (known == null)
        {
            events.record(EventType.QUOTA_REACHED, customer, "running: " + running);
        }
        spells.put(customer, new Spell(known == null ? nowNanos : known.begunNanos(), nowNanos));
    }
}
