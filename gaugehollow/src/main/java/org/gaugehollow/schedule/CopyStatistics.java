/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;

/** Counts and logs the copies that this box has started as the cell's owner, over all its terms. */
public final class CopyStatistics
{
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong won = new AtomicLong();
    private final DoubleAdder wastedCoreSeconds = new DoubleAdder();

    /** Counts and logs copies that are being started. */
    void recordStarted(List<CopyPlanner.StartedCopy> copies, EventLog events)
    {
        started.addAndGet(copies.size());
        copies.forEach(copy -> events.record(EventType.COPY_STARTED, copy.task(), copy.describe()));
    }

    /** Counts and logs the outcomes of copies. */
    void recordSettled(List<Effects.SettledCopy> copies, EventLog events)
    {
        for (Effects.SettledCopy copy : copies)
        {
            won.addAndGet(copy.hasWon() ? 1 : 0);
            wastedCoreSeconds.add(copy.wastedCoreSeconds());
            events.record(EventType.COPY_SETTLED, copy.task(), copy.describe());
        }
    }

    /** @return the number of copies started */
    public long started()
    {
        return started.get();
    }

    /** @return the number of copies that completed their tasks */
    public long won()
    {
        return won.get();
    }

    /** @return the work of the runs that did not count, in seconds of a core */
    public double wastedCoreSeconds()
    {
        return wastedCoreSeconds.sum();
    }
}
