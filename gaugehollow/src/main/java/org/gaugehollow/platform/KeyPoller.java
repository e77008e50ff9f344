/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Reads all keys under a prefix again and again. It costs fewer calls than a watch where the keys
 * change more often than they need to be known.
 */
public final class KeyPoller implements SupervisedTask
{
    private final PlatformStore store;
    private final String prefix;
    private final int periodMillis;
    private final KeyListing listing;
    private final EventLog events;
    private boolean lost;

    /**
     * @param store the platform's store
     * @param prefix the start of the keys
     * @param periodMillis the time from one reading to the next, in milliseconds
     * @param listener receives what is there, on this task's thread
     * @param events where lost and regained readings are recorded
     */
    public KeyPoller(PlatformStore store, String prefix, int periodMillis, KeyFollower.Listener listener,
            EventLog events)
    {
        this.store = store;
        this.prefix = prefix;
        this.periodMillis = periodMillis;
        this.listing = new KeyListing(listener);
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            try
            {
                listing.deliver(store.list(prefix));
                note(false, "");
            }
            catch (GaugehollowException e)
            {
                note(true, e.getMessage());
            }
            Thread.sleep(periodMillis);
        }
    }

    private void note(boolean nowLost, String why)
    {
        if (nowLost != lost)
        {
            lost = nowLost;
            events.record(nowLost ? EventType.STORE_WATCH_LOST : EventType.STORE_WATCH_REGAINED, prefix, why);
        }
    }
}
