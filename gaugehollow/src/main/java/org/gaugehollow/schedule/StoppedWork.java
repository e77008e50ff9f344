/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.gaugehollow.urgency.StopCosts;

/** Counts the work that is lost because runs end before their tasks are done. */
final class StoppedWork
{
    /** Why runs end. */
    enum Reason
    {
        /** A more urgent step needs the capacity. */
        PREEMPTION,
        /** The worker is leaving. */
        EVACUATION,
        /** The run makes no progress. */
        STALL,
        /** The worker is slow. */
        SLOW_WORKER,
        /** The worker was lost with the run. */
        WORKER_LOST
    }

    private static final int MILLIS_PER_CORE = 1_000;

    private final StopCosts stopCosts;
    private final Map<Reason, Long> coreMillis = new EnumMap<>(Reason.class);

    StoppedWork(StopCosts stopCosts)
    {
        this.stopCosts = stopCosts;
    }

    /** Adds the work lost by stops that are decided at the given time. */
    synchronized void add(Reason reason, Effects effects, long nowNanos)
    {
        for (Effects.Stop stop : effects.stops())
        {
            if (stop.task() != null)
            {
                Step step = stop.task().step();
                addMillis(reason, step, stopCosts.lostByStopMillis(stop.task().millisSinceStart(nowNanos),
                        step.spec().checkpointing()));
            }
        }
    }

    /** Adds the work of a run that was lost with its worker. */
    synchronized void addLost(Effects.LostRun run)
    {
        addMillis(Reason.WORKER_LOST, run.step(),
                stopCosts.lostWithoutStopMillis(run.observedMillis(), run.step().spec().checkpointing()));
    }

    private void addMillis(Reason reason, Step step, long lostMillis)
    {
        coreMillis.merge(reason, lostMillis * step.needs().cpuMillis() / MILLIS_PER_CORE, Long::sum);
    }

    /** Returns the lost core-milliseconds by label of the reason. */
    synchronized Map<String, Double> byLabel()
    {
        Map<String, Double> byLabel = new TreeMap<>();
        for (Reason reason : Reason.values())
        {
            byLabel.put(reason.name().toLowerCase(Locale.ROOT),
                    coreMillis.getOrDefault(reason, 0L).doubleValue());
        }
        return byLabel;
    }
}
