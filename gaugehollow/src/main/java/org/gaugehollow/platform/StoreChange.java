/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

/**
 * A change reported by a watch.
 *
 * @param key the key
 * @param value the new value; empty for a deletion
 * @param revision the store's revision of the change
 * @param deleted whether the key was removed
 */
public record StoreChange(String key, byte[] value, long revision, boolean deleted)
{
}
