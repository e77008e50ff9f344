/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * A configuration key at one revision.
 *
 * @param name key relative to the configuration's prefix, such as {@code workloads/goal}
 * @param revision store revision of the change
 * @param envelope stored bytes; empty for a deletion
 * @param deleted whether the change removed the key
 */
public record ConfigEntry(String name, long revision, byte[] envelope, boolean deleted)
{
}
