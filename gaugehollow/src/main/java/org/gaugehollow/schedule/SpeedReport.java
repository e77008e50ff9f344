/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.speed.KindSpeed;

/**
 * Shows the estimated speeds to operators: as metrics, and as an event when the speed of a kind
 * changes notably.
 */
final class SpeedReport
{
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Number of kinds that are shown, those with the most workers. */
    private static final int MAX_KINDS = 16;
    /** Maximum number of events per period; others follow in the next. */
    private static final int MAX_CHANGES = 4;
    /** Relative change of a kind's speed that is logged. */
    private static final double MIN_CHANGE = 0.15;

    private final CellState cellState;
    private final Planner planner;
    private final EventLog events;
    private final Map<String, Double> loggedByKind = new HashMap<>();
    private volatile SpeedSnapshot snapshot = SpeedSnapshot.EMPTY;
    private long reportedNanos;
    private boolean hasReported;

    SpeedReport(CellState cellState, Planner planner, EventLog events)
    {
        this.cellState = cellState;
        this.planner = planner;
        this.events = events;
    }

    /** Updates the snapshot and logs changes, at most once per period. */
    void report(long nowNanos)
    {
        if (hasReported && nowNanos - reportedNanos < PERIOD_NANOS)
        {
            return;
        }
        hasReported = true;
        reportedNanos = nowNanos;
        Map<String, String> changes = new LinkedHashMap<>();
        synchronized (cellState)
        {
            List<KindSpeed> kinds = cellState.trackedWorkers().speeds().kinds().stream()
                    .filter(kind -> kind.workerCount() > 0)
                    .sorted(Comparator.comparingInt(KindSpeed::workerCount).reversed()).limit(MAX_KINDS)
                    .toList();
            Map<String, Double> slownessByKind = new LinkedHashMap<>();
            kinds.forEach(kind -> slownessByKind.put(kind.name(), kind.slowness()));
            snapshot = new SpeedSnapshot(slownessByKind, planner.slowPlacements());
            kinds.forEach(kind -> addChange(kind, changes));
        }
        loggedByKind.keySet().retainAll(snapshot.slownessByKind().keySet());
        changes.forEach((kind, change) -> events.record(EventType.KIND_SPEED_CHANGED, kind, change));
    }

    private void addChange(KindSpeed kind, Map<String, String> changes)
    {
        double logged = loggedByKind.getOrDefault(kind.name(), 1.0);
        boolean isNotable = Math.abs(Math.log(kind.slowness() / logged)) > Math.log1p(MIN_CHANGE);
        if (isNotable && changes.size() < MAX_CHANGES)
        {
            loggedByKind.put(kind.name(), kind.slowness());
            changes.put(kind.name(),
                    String.format(Locale.ROOT,
                            "runs take %.2f times as long as on the typical worker, before %.2f; "
                                    + "workers: %d, runs observed: %d",
                            kind.slowness(), logged, kind.workerCount(), kind.runCount()));
        }
    }

    /** Returns the newest snapshot. */
    SpeedSnapshot snapshot()
    {
        return snapshot;
    }
}
