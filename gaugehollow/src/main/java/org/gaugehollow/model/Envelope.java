/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What the store holds under a resource's key: its content and the ids of the last writes, so that
 * a writer whose answer was lost can see whether its write was applied.
 *
 * @param writeId the id of the write that made this version
 * @param recentWriteIds the ids of the writes before it, newest first
 * @param spec the content
 */
public record Envelope(String writeId, List<String> recentWriteIds, JsonNode spec)
{
    private static final int REMEMBERED_WRITES = 16;

    /** Copies the list. */
    public Envelope
    {
        recentWriteIds = recentWriteIds == null ? List.of() : List.copyOf(recentWriteIds);
    }

    /**
     * @param id the id of the next write
     * @param content its content
     * @return the envelope that follows this one
     */
    public Envelope next(String id, JsonNode content)
    {
        List<String> recent = new ArrayList<>();
        recent.add(writeId);
        recent.addAll(recentWriteIds);
        return new Envelope(id, recent.subList(0, Math.min(recent.size(), REMEMBERED_WRITES)), content);
    }

    /**
     * @param id a write's id
     * @return whether that write was applied
     */
    public boolean holds(String id)
    {
        return id.equals(writeId) || recentWriteIds.contains(id);
    }
}
