/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.function.Supplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.schedule.CellPlatform;

/** Caches the newest configuration of the cell. Older versions never replace newer ones. */
final class CellConfigCache implements KeyFollower.Listener, Supplier<CellConfig>
{
    private final CellPlatform platform;
    private final EventLog events;
    private volatile CellConfig current = CellConfig.NONE;

    CellConfigCache(CellPlatform platform, EventLog events)
    {
        this.platform = platform;
        this.events = events;
    }

    @Override
    public CellConfig get()
    {
        return current;
    }

    @Override
    public synchronized void onPut(String key, byte[] value, long revision)
    {
        if (!key.equals(platform.configKey()))
        {
            return;
        }
        try
        {
            CellConfig newest = platform.readConfig(value);
            if (newest.version() > current.version())
            {
                current = newest;
                events.record(EventType.CONFIG_APPLIED, key,
                        "version " + newest.version() + " at revision " + revision);
            }
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.CONFIG_BAD_ENTRY, key, e.getMessage());
        }
    }

    @Override
    public void onRemoved(String key, long revision)
    {
        events.record(EventType.CONFIG_BAD_ENTRY, key,
                "removed at revision " + revision + "; the last configuration stays in force");
    }

    @Override
    public void onListed(long revision)
    {
        // removal of the single configuration key is reported by onRemoved
    }
}
