/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

/**
 * A key and its value in the store.
 *
 * @param key the key
 * @param value the value
 * @param modRevision the store's revision of the last change
 */
public record StoredValue(String key, byte[] value, long modRevision)
{
}
