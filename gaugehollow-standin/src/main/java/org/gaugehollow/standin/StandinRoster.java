/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Worker roster that publishes each change after a delay. Thread-safe. */
final class StandinRoster
{
    private record Pending(RosterLine line, long visibleAtNanos)
    {
    }

    private final long lagNanos;
    private final LongSupplier nanoTime;
    private final List<Pending> pending = new ArrayList<>();
    private final Map<String, RosterLine> visible = new TreeMap<>();

    StandinRoster(long lagMillis, LongSupplier nanoTime)
    {
        this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
        this.nanoTime = nanoTime;
    }

    synchronized void put(RosterLine line)
    {
        pending.add(new Pending(line, nanoTime.getAsLong() + lagNanos));
    }

    synchronized List<Map<String, Object>> groups()
    {
        long now = nanoTime.getAsLong();
        for (Pending change : List.copyOf(pending))
        {
            if (change.visibleAtNanos - now <= 0)
            {
                pending.remove(change);
                apply(change.line);
            }
        }
        List<Map<String, Object>> groups = new ArrayList<>();
        visible.values().forEach(
                line -> groups.add(Map.of("targets", List.of(line.address()), "labels", line.labels())));
        return groups;
    }

    private void apply(RosterLine line)
    {
        String worker = line.labels().get("worker");
        if (line.gone())
        {
            visible.remove(worker);
        }
        else
        {
            visible.put(worker, line);
        }
    }
}
