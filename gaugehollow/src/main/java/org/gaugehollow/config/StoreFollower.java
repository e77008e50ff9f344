/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreChange;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoreWatch;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Watches the configuration in the store while this box is a relay of its data hall, and applies
 * the changes to the cache. Other boxes get them from the relays, so the number of watches on the
 * store depends on the number of data halls, not of boxes.
 */
public final class StoreFollower implements SupervisedTask
{
    private static final int POLL_MILLIS = 200;
    private static final int RETRY_MILLIS = 300;
    private static final long IDLE_TIMEOUT_NANOS = 5_000_000_000L;

    private final PlatformStore store;
    private final ConfigCache cache;
    private final BooleanSupplier isRelay;
    private final EventLog events;

    /**
     * @param store the platform's key-value service
     * @param cache cache that receives the changes
     * @param isRelay returns whether this box currently is a relay
     * @param events records losses of the watch
     */
    public StoreFollower(PlatformStore store, ConfigCache cache, BooleanSupplier isRelay, EventLog events)
    {
        this.store = store;
        this.cache = cache;
        this.isRelay = isRelay;
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        boolean watchLost = false;
        while (true)
        {
            if (isRelay.getAsBoolean())
            {
                watchLost = followOnce(watchLost);
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    private boolean followOnce(boolean alreadyLost) throws InterruptedException
    {
        try
        {
            follow();
            return false;
        }
        catch (GaugehollowException e)
        {
            if (!alreadyLost)
            {
                events.record(EventType.STORE_WATCH_LOST, StoreKeys.CONFIG, e.getMessage());
            }
            if (e.code() == ResultCode.WATCH_TOO_OLD)
            {
                readAll();
            }
            return true;
        }
    }

    private void follow() throws InterruptedException
    {
        if (cache.revision() == 0)
        {
            readAll();
        }
        try (StoreWatch watch = store.watch(StoreKeys.CONFIG, cache.revision() + 1))
        {
            long lastChangeAt = SteadyClock.nanos();
            while (isRelay.getAsBoolean() && SteadyClock.nanos() - lastChangeAt < IDLE_TIMEOUT_NANOS)
            {
                List<StoreChange> changes = watch.poll(POLL_MILLIS);
                if (!changes.isEmpty())
                {
                    lastChangeAt = SteadyClock.nanos();
                    long revision = changes.getLast().revision();
                    cache.apply(new ConfigDelta(revision, false,
                            changes.stream().map(StoreFollower::toEntry).toList()));
                }
            }
        }
    }

    private void readAll() throws InterruptedException
    {
        StoreListing listing = store.list(StoreKeys.CONFIG);
        List<ConfigEntry> entries = listing.values().stream().map(
                stored -> new ConfigEntry(nameOf(stored.key()), stored.modRevision(), stored.value(), false))
                .toList();
        cache.apply(new ConfigDelta(listing.revision(), true, entries));
        events.record(EventType.CONFIG_RESYNCED, StoreKeys.CONFIG, "revision " + listing.revision());
    }

    private static ConfigEntry toEntry(StoreChange change)
    {
        return new ConfigEntry(nameOf(change.key()), change.revision(), change.value(), change.deleted());
    }

    private static String nameOf(String key)
    {
        return key.substring(StoreKeys.CONFIG.length());
    }
}
