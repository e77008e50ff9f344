/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.HashSet;
import java.util.Set;

/** Delivers listings of keys to a listener and detects keys that were removed between listings. */
final class KeyTracker
{
    private final KeyFollower.Listener listener;
    private final Set<String> known = new HashSet<>();

    KeyTracker(KeyFollower.Listener listener)
    {
        this.listener = listener;
    }

    /** Delivers all listed keys, then the removal of known keys that are no longer listed. */
    void deliver(StoreListing listing)
    {
        Set<String> removed = new HashSet<>(known);
        for (StoredValue value : listing.values())
        {
            removed.remove(value.key());
            put(value.key(), value.value(), value.modRevision());
        }
        removed.forEach(key -> remove(key, listing.revision()));
        listener.onListed(listing.revision());
    }

    void put(String key, byte[] value, long revision)
    {
        known.add(key);
        listener.onPut(key, value, revision);
    }

    void remove(String key, long revision)
    {
        known.remove(key);
        listener.onRemoved(key, revision);
    }
}
