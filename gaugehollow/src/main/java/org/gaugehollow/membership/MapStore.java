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

/**
 * Changes a hall's map in the store by compare-and-swap, and settles a change whose answer was
 * lost.
 */
public final class MapStore
{
    private final String hall;
    private final PlatformStore store;
    private final ConfigCache config;
    private final EventLog events;

    /**
     * @param hall the hall
     * @param store the platform's service
     * @param config takes the changed map at once
     * @param events where changes are recorded
     */
    public MapStore(String hall, PlatformStore store, ConfigCache config, EventLog events)
    {
        this.hall = hall;
        this.store = store;
        this.config = config;
        this.events = events;
    }

    /**
     * Changes the map.
     *
     * @param from the map's revision that the change started from, 0 to create it
     * @param next the next map
     * @param absent boxes that must not be registered for the change to be made
     * @return whether the change was made; if not, the map in force here is now the store's
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException if the store did not say, and the change may still take effect
     */
    public boolean change(long from, AssignmentMap next, Collection<String> absent)
            throws InterruptedException
    {
        String key = StoreKeys.CONFIG + StoreKeys.hallMap(hall);
        byte[] bytes = Json.write(next);
        StoreTransaction change = new StoreTransaction().require(key, from).put(key, bytes);
        absent.forEach(box -> change.require(StoreKeys.member(hall, box), 0));
        Optional<Long> revision = store.commit(change);
        if (revision.isEmpty())
        {
            refresh();
            return false;
        }
        events.record(EventType.MAP_CHANGED, hall,
                "epoch " + next.epoch() + ", boxes " + next.boxes().keySet());
        config.applyOwn(new ConfigEntry(StoreKeys.hallMap(hall), revision.get(), bytes, false));
        return true;
    }

    /**
     * Reads the map from the store and puts it in force here.
     *
     * @return the map that the store holds, if there is one
     * @throws InterruptedException if the process stops
     */
    public Optional<AssignmentMap> refresh() throws InterruptedException
    {
        String name = StoreKeys.hallMap(hall);
        Optional<StoredValue> held = store.get(StoreKeys.CONFIG + name);
        held.ifPresent(v -> config.applyOwn(new ConfigEntry(name, v.modRevision(), v.value(), false)));
        return held.map(v -> Json.read(v.value(), AssignmentMap.class, ResultCode.STORE_BAD_ANSWER));
    }

    /** @return what a change needs when no box has to be absent */
    public static List<String> noBoxes()
    {
        return List.of();
    }
}
