/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Writes the number of jobs per queue that have not started, whenever it changes. The value is tied
 * to the owner's lease, so that it is removed when its owner is gone.
 */
final class SummaryWriter implements SupervisedTask
{
    private static final long PERIOD_MILLIS = 500;

    private final OwnerValue stored;
    private final CellState cellState;
    private final OwnerLease owner;
    private final EventLog events;
    private volatile Map<String, Integer> counts = Map.of();

    /**
     * @param store the platform's store
     * @param cellState state that knows the jobs
     * @param owner this box's term
     * @param events log for failed writes
     */
    SummaryWriter(PlatformStore store, CellState cellState, OwnerLease owner, EventLog events)
    {
        this.stored = new OwnerValue(store, JobKeys.SUMMARY, owner);
        this.cellState = cellState;
        this.owner = owner;
        this.events = events;
    }

    /** Returns the newest counts by queue, whether or not they are stored. */
    Map<String, Integer> counts()
    {
        return counts;
    }

    @Override
    public void run() throws InterruptedException
    {
        Map<String, Integer> written = null;
        while (!owner.hasEnded())
        {
            Map<String, Integer> newest;
            synchronized (cellState)
            {
                newest = cellState.countQueuedJobs();
            }
            counts = newest;
            if (!newest.equals(written))
            {
                written = write(newest) ? newest : null;
            }
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    /** Writes the counts and returns whether they are certainly stored. */
    private boolean write(Map<String, Integer> newest) throws InterruptedException
    {
        try
        {
            long expected = stored.revision();
            if (stored.write(Json.write(newest), owner.storeLease()))
            {
                return true;
            }
            events.record(EventType.COUNTS_DELAYED, owner.box(),
                    newest + " not written: expected revision " + expected + ", found " + stored.revision());
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.COUNTS_DELAYED, owner.box(), newest + " not written: " + e.getMessage());
        }
        return false;
    }
}
