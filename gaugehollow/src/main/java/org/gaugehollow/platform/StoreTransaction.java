/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.ArrayList;
import java.util.List;

/** Writes that are applied together if every condition holds, and not at all otherwise. */
public final class StoreTransaction
{
    /**
     * A key's last change must be at this revision; 0 says that the key must not exist.
     *
     * @param key the key
     * @param modRevision the revision
     */
    public record Condition(String key, long modRevision)
    {
    }

    /**
     * A write; null bytes remove the key.
     *
     * @param key the key
     * @param value the bytes
     * @param lease the lease that the key ends with, 0 for none
     */
    public record Write(String key, byte[] value, long lease)
    {
    }

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /**
     * @param key a key
     * @param modRevision the revision its last change must have; 0 if it must not exist
     * @return this
     */
    public StoreTransaction require(String key, long modRevision)
    {
        conditions.add(new Condition(key, modRevision));
        return this;
    }

    /**
     * @param key a key
     * @param value its new bytes
     * @return this
     */
    public StoreTransaction put(String key, byte[] value)
    {
        return put(key, value, 0);
    }

    /**
     * @param key a key
     * @param value its new bytes
     * @param lease the lease that the key ends with
     * @return this
     */
    public StoreTransaction put(String key, byte[] value, long lease)
    {
        writes.add(new Write(key, value, lease));
        return this;
    }

    /**
     * @param key a key to remove
     * @return this
     */
    public StoreTransaction delete(String key)
    {
        writes.add(new Write(key, null, 0));
        return this;
    }

    /** @return the conditions */
    public List<Condition> conditions()
    {
        return List.copyOf(conditions);
    }

    /** @return the writes */
    public List<Write> writes()
    {
        return List.copyOf(writes);
    }
}
