/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import java.util.List;

import org.gaugehollow.model.ConfigEntry;

/**
 * What brings another box from its revision to this one.
 *
 * @param revision the revision it leads to
 * @param full whether the entries are the whole configuration, and not the changes in order
 * @param entries the entries
 */
public record ConfigDelta(long revision, boolean full, List<ConfigEntry> entries)
{
    /** Copies the list. */
    public ConfigDelta
    {
        entries = List.copyOf(entries);
    }
}
