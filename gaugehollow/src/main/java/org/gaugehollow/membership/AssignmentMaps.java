/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

/**
 * The maps of the halls as this box knows them: part of the configuration, so they never revert.
 */
public final class AssignmentMaps
{
    /**
     * A map with the store's revision of it.
     *
     * @param map the map
     * @param revision the revision to change it from
     */
    public record Versioned(AssignmentMap map, long revision)
    {
    }

    private final String hall;
    private final EventLog events;
    private final Map<String, Versioned> maps = new ConcurrentHashMap<>();
    private final List<Consumer<AssignmentMap>> listeners = new CopyOnWriteArrayList<>();

    /**
     * @param hall this box's hall
     * @param keeper the configuration
     * @param events where adopted maps are recorded
     */
    public AssignmentMaps(String hall, ConfigCache keeper, EventLog events)
    {
        this.hall = hall;
        this.events = events;
        keeper.addListener(this::adopt);
    }

    /**
     * @param listener is told when the map of this box's hall changed; it must return at once
     */
    public void addListener(Consumer<AssignmentMap> listener)
    {
        listeners.add(listener);
    }

    /** @return the map of this box's hall, if one is known */
    public Optional<AssignmentMap> map()
    {
        return versioned().map(Versioned::map);
    }

    /** @return the map of this box's hall with its revision, if one is known */
    public Optional<Versioned> versioned()
    {
        return Optional.ofNullable(maps.get(hall));
    }

    /**
     * @param other a hall
     * @return its map, if one is known
     */
    public Optional<AssignmentMap> mapOf(String other)
    {
        return Optional.ofNullable(maps.get(other)).map(Versioned::map);
    }

    /** @return the epoch of this hall's map, 0 where none is known */
    public long epoch()
    {
        return map().map(AssignmentMap::epoch).orElse(0L);
    }

    private void adopt(List<ConfigEntry> applied)
    {
        for (ConfigEntry entry : applied)
        {
            if (StoreKeys.isHallMap(entry.name()))
            {
                adoptMap(entry);
            }
        }
    }

    private void adoptMap(ConfigEntry entry)
    {
        String name = entry.name().substring(StoreKeys.hallMap("").length());
        if (entry.deleted())
        {
            maps.remove(name);
        }
        else
        {
            try
            {
                AssignmentMap map = Json.read(entry.envelope(), AssignmentMap.class,
                        ResultCode.STORE_BAD_ANSWER);
                maps.put(name, new Versioned(map, entry.revision()));
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.CONFIG_BAD_ENTRY, entry.name(), e.getMessage());
                return;
            }
        }
        if (name.equals(hall))
        {
            events.record(EventType.MAP_ADOPTED, name, "epoch " + epoch());
            map().ifPresent(map -> listeners.forEach(listener -> listener.accept(map)));
        }
    }
}
