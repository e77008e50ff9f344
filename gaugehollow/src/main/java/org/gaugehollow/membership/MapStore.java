/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;

/** Changes the assignment map of a data hall in the store by compare-and-swap. */
public final class MapStore
{
    private final String hall;
    private final PlatformStore store;
    private final ConfigCache config;
    private final EventLog events;

    /**
     * @param hall the data hall
     * @param store the store
     * @param config the cache that receives the changed map
     * @param events the event log for changes
     */
    public MapStore(String hall, PlatformStore store, ConfigCache config, EventLog events)
    {
        this.hall = hall;
        this.store = store;
        this.config = config;
        this.events = events;
    }

    /**
     * Replaces the map if it is unchanged in the store and none of the given boxes is registered.
     * Otherwise reads the current map from the store.
     *
     * @param expectedRevision the revision of the map to replace, or 0 to create the map
     * @param next the new map
     * @param absentBoxes the boxes that must not be registered
     * @return whether the map was replaced
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException if the outcome is unknown; the change may still take effect
     */
    public boolean change(long expectedRevision, AssignmentMap next, Collection<String> absentBoxes)
            throws InterruptedException
    {
        String key = StoreKeys.CONFIG_PREFIX + StoreKeys.assignmentMap(hall);
        byte[] bytes = Json.write(next);
        StoreTransaction transaction = new StoreTransaction().require(key, expectedRevision).put(key, bytes);
        absentBoxes.forEach(box -> transaction.require(StoreKeys.member(hall, box), 0));
        Optional<Long> revision = store.commit(transaction);
        if (revision.isEmpty())
        {
            refresh();
            return false;
        }
        events.record(EventType.MAP_CHANGED, hall,
                "epoch " + next.epoch() + ", boxes " + next.boxes().keySet());
        config.applyLocal(new ConfigEntry(StoreKeys.assignmentMap(hall), revision.get(), bytes, false));
        return true;
    }

    /**
     * Reads the map from the store and applies it to the local configuration.
     *
     * @return the stored map, or empty if there is none
     * @throws InterruptedException if the process stops
     */
    public Optional<AssignmentMap> refresh() throws InterruptedException
    {
        String name = StoreKeys.assignmentMap(hall);
        Optional<StoredValue> stored = store.get(StoreKeys.CONFIG_PREFIX + name);
        stored.ifPresent(v -> config.applyLocal(new ConfigEntry(name, v.modRevision(), v.value(), false)));
        return stored.map(v -> Json.read(v.value(), AssignmentMap.class, ResultCode.STORE_BAD_ANSWER));
    }

    /** @return the argument for a change that requires no box to be absent */
    public static List<String> noBoxes()
    {
        return List.of();
    }
}
