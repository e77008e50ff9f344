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
 * Follows the configuration in the store while this box is one of the hall's relays, and feeds it
 * to the keeper. Other boxes take it from the relays, so the store's watches grow with halls, not
 * boxes.
 */
public final class StoreFollower implements SupervisedTask
{
    private static final int POLL_MILLIS = 200;
    private static final int RETRY_MILLIS = 300;
    private static final long SILENT_NANOS = 5_000_000_000L;

    private final PlatformStore store;
    private final ConfigCache keeper;
    private final BooleanSupplier isRelay;
    private final EventLog events;

    /**
     * @param store the platform's service
     * @param keeper what is fed
     * @param isRelay whether this box is to follow the store now
     * @param events where losses of the watch are recorded
     */
    public StoreFollower(PlatformStore store, ConfigCache keeper, BooleanSupplier isRelay, EventLog events)
    {
        this.store = store;
        this.keeper = keeper;
        this.isRelay = isRelay;
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        boolean lost = false;
        while (true)
        {
            if (isRelay.getAsBoolean())
            {
                lost = followOnce(lost);
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    private boolean followOnce(boolean lostBefore) throws InterruptedException
    {
        try
        {
            follow();
            return false;
        }
        catch (GaugehollowException e)
        {
            if (!lostBefore)
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
        if (keeper.revision() == 0)
        {
            readAll();
        }
        try (StoreWatch watch = store.watch(StoreKeys.CONFIG, keeper.revision() + 1))
        {
            long heardAt = SteadyClock.nanos();
            while (isRelay.getAsBoolean() && SteadyClock.nanos() - heardAt < SILENT_NANOS)
            {
                List<StoreChange> changes = watch.poll(POLL_MILLIS);
                if (!changes.isEmpty())
                {
                    heardAt = SteadyClock.nanos();
                    long revision = changes.getLast().revision();
                    keeper.apply(new ConfigDelta(revision, false,
                            changes.stream().map(StoreFollower::entry).toList()));
                }
            }
        }
    }

    private void readAll() throws InterruptedException
    {
        StoreListing listing = store.list(StoreKeys.CONFIG);
        List<ConfigEntry> entries = listing.values().stream()
                .map(v -> new ConfigEntry(nameOf(v.key()), v.modRevision(), v.value(), false)).toList();
        keeper.apply(new ConfigDelta(listing.revision(), true, entries));
        events.record(EventType.CONFIG_RESYNCED, StoreKeys.CONFIG, "revision " + listing.revision());
    }

    private static ConfigEntry entry(StoreChange change)
    {
        return new ConfigEntry(nameOf(change.key()), change.revision(), change.value(), change.deleted());
    }

    private static String nameOf(String key)
    {
        return key.substring(StoreKeys.CONFIG.length());
    }
}
