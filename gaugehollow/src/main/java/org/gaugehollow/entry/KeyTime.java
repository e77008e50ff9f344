/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.UUID;

/** Extracts the creation time from idempotency keys that contain one. */
final class KeyTime
{
    private static final int UUID_VERSION = 7;
    private static final int TIMESTAMP_SHIFT = 16;
    private static final int UUID_LENGTH = 36;

    private KeyTime()
    {
    }

    /** Returns the time in a version 7 UUID in milliseconds since 1970, or 0 for any other key. */
    static long fromUuid(String key)
    {
        if (key.length() != UUID_LENGTH)
        {
            return 0;
        }
        try
        {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == UUID_VERSION ? uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT : 0;
        }
        catch (IllegalArgumentException e)
        {
            return 0;
        }
    }
}
