/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.ArrayList;
import java.util.List;

/** Writes that are applied atomically if all conditions hold. */
public final class StoreTransaction
{
    /**
     * Requires that a key was last changed at a revision, or does not exist if the revision is 0.
     *
     * @param key the key
     * @param modRevision the revision of the last change, 0 if the key must not exist
     */
    public record Condition(String key, long modRevision)
    {
    }

    /**
     * Writes or removes a key.
     *
     * @param key the key
     * @param value the value, null to remove the key
     * @param lease the id of the lease that the key is attached to, 0 for none
     */
    public record Write(String key, byte[] value, long lease)
    {
    }

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /**
     * @param key the key
     * @param modRevision the required revision of the last change, 0 if the key must not exist
     * @return this transaction
     */
    public StoreTransaction require(String key, long modRevision)
    {
        conditions.add(new Condition(key, modRevision));
        return this;
    }

    /**
     * @param key the key
     * @param value the new value
     * @return this transaction
     */
    public StoreTransaction put(String key, byte[] value)
    {
        return put(key, value, 0);
    }

    /**
     * @param key the key
     * @param value the new value
     * @param lease the id of the lease that the key is attached to
     * @return this transaction
     */
    public StoreTransaction put(String key, byte[] value, long lease)
    {
        writes.add(new Write(key, value, lease));
        return this;
    }

    /**
     * @param key the key to remove
     * @return this transaction
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
