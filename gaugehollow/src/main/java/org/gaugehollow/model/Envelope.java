/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Stored form of a resource: its content and the ids of its latest writes. A writer that got no
 * response uses the ids to find out whether its write was applied.
 *
 * @param writeId id of the write that created this version
 * @param recentWriteIds ids of the preceding writes, newest first
 * @param spec content of the resource
 */
public record Envelope(String writeId, List<String> recentWriteIds, JsonNode spec)
{
    private static final int MAX_RECENT_WRITES = 16;

    /** Copies the list. */
    public Envelope
    {
        recentWriteIds = recentWriteIds == null ? List.of() : List.copyOf(recentWriteIds);
    }

    /**
     * @param id id of the next write
     * @param content new content
     * @return envelope of the next version
     */
    public Envelope next(String id, JsonNode content)
    {
        List<String> recent = new ArrayList<>();
        recent.add(writeId);
        recent.addAll(recentWriteIds);
        return new Envelope(id, recent.subList(0, Math.min(recent.size(), MAX_RECENT_WRITES)), content);
    }

    /**
     * @param id id of a write
     * @return whether that write was applied
     */
    public boolean hasApplied(String id)
    {
        return id.equals(writeId) || recentWriteIds.contains(id);
    }
}
