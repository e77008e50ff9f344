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
 * Holds the assignment maps of all data halls as last received with the configuration. A map is
 * never replaced by an older one.
 */
public final class AssignmentMaps
{
    /**
     * An assignment map and its store revision.
     *
     * @param map the map
     * @param revision the store revision, used for compare-and-swap
     */
    public record Versioned(AssignmentMap map, long revision)
    {
    }

    private final String hall;
    private final EventLog events;
    private final Map<String, Versioned> mapsByHall = new ConcurrentHashMap<>();
    private final List<Consumer<AssignmentMap>> listeners = new CopyOnWriteArrayList<>();

    /**
     * @param hall the data hall of this box
     * @param config the cache that delivers the maps
     * @param events the event log for adopted maps
     */
    public AssignmentMaps(String hall, ConfigCache config, EventLog events)
    {
        this.hall = hall;
        this.events = events;
        config.addListener(this::onConfigApplied);
    }

    /**
     * Adds a listener that is called whenever the map of this box's data hall changes.
     *
     * @param listener the listener; must not block
     */
    public void addListener(Consumer<AssignmentMap> listener)
    {
        listeners.add(listener);
    }

    /** @return the map of this box's data hall, or empty if none is known */
    public Optional<AssignmentMap> map()
    {
        return versioned().map(Versioned::map);
    }

    /** @return the map of this box's data hall with its revision, or empty if none is known */
    public Optional<Versioned> versioned()
    {
        return Optional.ofNullable(mapsByHall.get(hall));
    }

    /**
     * @param otherHall the name of a data hall
     * @return the map of that data hall, or empty if none is known
     */
    public Optional<AssignmentMap> mapOf(String otherHall)
    {
        return Optional.ofNullable(mapsByHall.get(otherHall)).map(Versioned::map);
    }

    /** @return the epoch of this data hall's map, or 0 if none is known */
    public long epoch()
    {
        return map().map(AssignmentMap::epoch).orElse(0L);
    }

    private void onConfigApplied(List<ConfigEntry> applied)
    {
        for (ConfigEntry entry : applied)
        {
            if (StoreKeys.isAssignmentMap(entry.name()))
            {
                applyEntry(entry);
            }
        }
    }

    private void applyEntry(ConfigEntry entry)
    {
        String hallName = entry.name().substring(StoreKeys.assignmentMap("").length());
        if (entry.deleted())
        {
            mapsByHall.remove(hallName);
        }
        else
        {
            try
            {
                AssignmentMap map = Json.read(entry.envelope(), AssignmentMap.class,
                        ResultCode.STORE_BAD_ANSWER);
                mapsByHall.put(hallName, new Versioned(map, entry.revision()));
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.CONFIG_BAD_ENTRY, entry.name(), e.getMessage());
                return;
            }
        }
        if (hallName.equals(hall))
        {
            events.record(EventType.MAP_ADOPTED, hallName, "epoch " + epoch());
            map().ifPresent(map -> listeners.forEach(listener -> listener.accept(map)));
        }
    }
}
