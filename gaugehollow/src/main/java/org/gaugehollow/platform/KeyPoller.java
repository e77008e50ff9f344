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
 * Lists all keys under a prefix periodically. Needs fewer calls than a watch if the keys change
 * more often than they have to be read.
 */
public final class KeyPoller implements SupervisedTask
{
    private final PlatformStore store;
    private final String prefix;
    private final int periodMillis;
    private final KeyTracker tracker;
    private final EventLog events;
    private boolean lost;

    /**
     * @param store the store
     * @param prefix the prefix of the keys
     * @param periodMillis pause between two listings, in milliseconds
     * @param listener receives the listed keys, on the thread of this task
     * @param events records failed and resumed listings
     */
    public KeyPoller(PlatformStore store, String prefix, int periodMillis, KeyFollower.Listener listener,
            EventLog events)
    {
        this.store = store;
        this.prefix = prefix;
        this.periodMillis = periodMillis;
        this.tracker = new KeyTracker(listener, events);
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            try
            {
                tracker.deliver(store.list(prefix));
                updateLost(false, "");
            }
            catch (GaugehollowException e)
            {
                updateLost(true, e.getMessage());
            }
            Thread.sleep(periodMillis);
        }
    }

    private void updateLost(boolean nowLost, String reason)
    {
        if (nowLost != lost)
        {
            lost = nowLost;
            events.record(nowLost ? EventType.STORE_WATCH_LOST : EventType.STORE_WATCH_REGAINED, prefix,
                    reason);
        }
    }
}
