/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import org.gaugehollow.model.ResourceKind;

/** The names of keys in the platform's service. */
public final class StoreKeys
{
    /** The start of all configuration keys. */
    public static final String CONFIG = "/gaugehollow/config/";
    private static final String HALLS = "halls/";
    private static final String REMOVALS = "/gaugehollow/removals/";
    private static final String MEMBERS = "/gaugehollow/members/";

    private StoreKeys()
    {
    }

    /**
     * @param kind a kind of resource
     * @param name a resource's name
     * @return its key below {@link #CONFIG}
     */
    public static String resource(ResourceKind kind, String name)
    {
        return kind.plural() + '/' + name;
    }

    /**
     * @param hall a data hall
     * @return the key of its map, below {@link #CONFIG}
     */
    public static String hallMap(String hall)
    {
        return HALLS + hall;
    }

    /**
     * @param name a key below {@link #CONFIG}
     * @return whether it is a hall's map
     */
    public static boolean isAssignmentMap(String name)
    {
        return name.startsWith(HALLS);
    }

    /**
     * @param hall a data hall
     * @return the start of the keys of its boxes
     */
    public static String members(String hall)
    {
        return MEMBERS + hall + '/';
    }

    /**
     * @param hall a data hall
     * @param box a box's id
     * @return the key that lives as long as the box's lease
     */
    public static String member(String hall, String box)
    {
        return members(hall) + box;
    }

    /**
     * @param name a key below {@link #CONFIG}
     * @return the key that holds the id of the write that removed it last
     */
    public static String removal(String name)
    {
        return REMOVALS + name;
    }
}
