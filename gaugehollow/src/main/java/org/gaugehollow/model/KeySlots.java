/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;

/** Divides the keys of a hall into a fixed number of ranges (slots of the key space). */
public final class KeySlots
{
    /** How many key slots a hall has. */
    public static final int COUNT = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private KeySlots()
    {
    }

    /**
     * @param team the caller's team
     * @param key the key of the request
     * @return the slot, from 0 to {@link #COUNT} - 1
     */
    public static int slotOf(String team, String key)
    {
        return (int) Long.remainderUnsigned(hash(team + '\n' + key), COUNT);
    }

    /**
     * @param text any text
     * @return its 64-bit hash, the same in every process
     */
    public static long hash(String text)
    {
        return HASH.hashBytes(text.getBytes(StandardCharsets.UTF_8));
    }
}
