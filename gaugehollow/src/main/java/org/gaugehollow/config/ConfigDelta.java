/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import java.util.List;

import org.gaugehollow.model.ConfigEntry;

/**
 * Changes that lead another box to a revision.
 *
 * @param revision resulting revision
 * @param full whether the entries are the whole configuration instead of a sequence of changes
 * @param entries entries of the configuration, or changes in order
 */
public record ConfigDelta(long revision, boolean full, List<ConfigEntry> entries)
{
    /** Copies the list. */
    public ConfigDelta
    {
        entries = List.copyOf(entries);
    }
}
