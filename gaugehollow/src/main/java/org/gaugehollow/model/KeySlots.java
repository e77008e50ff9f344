/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;

/** Maps the idempotency keys of a data hall to a fixed number of key slots. */
public final class KeySlots
{
    /** Number of key slots in a data hall. */
    public static final int COUNT = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private KeySlots()
    {
    }

    /**
     * @param team team of the caller
     * @param key idempotency key of the request
     * @return slot number from 0 to {@link #COUNT} - 1
     */
    public static int slotOf(String team, String key)
    {
        return (int) Long.remainderUnsigned(hash(team + '\n' + key), COUNT);
    }

    /**
     * @param text any text
     * @return 64-bit hash that is the same in every process
     */
    public static long hash(String text)
    {
        return HASH.hashBytes(text.getBytes(StandardCharsets.UTF_8));
    }
}
