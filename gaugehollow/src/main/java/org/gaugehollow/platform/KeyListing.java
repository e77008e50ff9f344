/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.HashSet;
import java.util.Set;

/** Delivers whole listings of keys, and tells which keys are gone since the one before. */
final class KeyListing
{
    private final KeyFollower.Listener listener;
    private final Set<String> known = new HashSet<>();

    KeyListing(KeyFollower.Listener listener)
    {
        this.listener = listener;
    }

    /** Delivers all that is there and then all that is not there any more. */
    void deliver(StoreListing listing)
    {
        Set<String> gone = new HashSet<>(known);
        for (StoredValue value : listing.values())
        {
            gone.remove(value.key());
            put(value.key(), value.value(), value.modRevision());
        }
        gone.forEach(key -> remove(key, listing.revision()));
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
