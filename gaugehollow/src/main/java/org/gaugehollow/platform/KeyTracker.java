/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;

/** Delivers listings of keys to a listener and detects keys that were removed between listings. */
final class KeyTracker
{
    /** Number of deliveries after which an entry on which the listener fails is given up. */
    private static final int MAX_DELIVERIES = 3;

    private final KeyFollower.Listener listener;
    private final EventLog events;
    private final Set<String> known = new HashSet<>();
    /** Number of failed deliveries of the latest change of a key. */
    private final Map<Change, Integer> failures = new HashMap<>();

    /** A change of a key. */
    private record Change(String key, long revision)
    {
    }

    KeyTracker(KeyFollower.Listener listener, EventLog events)
    {
        this.listener = listener;
        this.events = events;
    }

    /** Delivers all listed keys, then the removal of known keys that are no longer listed. */
    void deliver(StoreListing listing)
    {
        Set<String> removed = new HashSet<>(known);
        Set<Change> listed = new HashSet<>();
        for (StoredValue value : listing.values())
        {
            removed.remove(value.key());
            listed.add(new Change(value.key(), value.modRevision()));
            put(value.key(), value.value(), value.modRevision());
        }
        removed.forEach(key -> remove(key, listing.revision()));
        listener.onListed(listing.revision());
        failures.keySet().retainAll(listed);
    }

    /** Forgets the failures of changes that are not delivered again. */
    void onChangesDelivered()
    {
        failures.clear();
    }

    void put(String key, byte[] value, long revision)
    {
        known.add(key);
        deliverUnlessGivenUp(new Change(key, revision), () -> listener.onPut(key, value, revision));
    }

    void remove(String key, long revision)
    {
        known.remove(key);
        deliverUnlessGivenUp(new Change(key, revision), () -> listener.onRemoved(key, revision));
    }

    /**
     * Delivers a change. One on which the listener fails each time is given up, so that it does not
     * hold up all others.
     */
    private void deliverUnlessGivenUp(Change change, Runnable delivery)
    {
        if (failures.getOrDefault(change, 0) >= MAX_DELIVERIES)
        {
            return;
        }
        try
        {
            delivery.run();
        }
        catch (RuntimeException e)
        {
            if (failures.merge(change, 1, Integer::sum) < MAX_DELIVERIES)
            {
                throw e;
            }
            events.record(EventType.INTERNAL_FAULT, change.key(), "change at revision " + change.revision()
                    + " given up after " + MAX_DELIVERIES + " deliveries: " + e);
        }
    }
}
