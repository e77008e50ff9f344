/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;

/** Counts the copies that this box has started as the cell's owner, over all its terms. */
public final class CopyStatistics
{
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong won = new AtomicLong();
    private final DoubleAdder wastedCoreSeconds = new DoubleAdder();

    void recordStart()
    {
        started.incrementAndGet();
    }

    void recordOutcome(Effects.SettledCopy copy)
    {
        if (copy.hasWon())
        {
            won.incrementAndGet();
        }
        wastedCoreSeconds.add(copy.wastedCoreSeconds());
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
