/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import org.gaugehollow.model.ResourceKind;

/** Keys in the platform's key-value service. */
public final class StoreKeys
{
    /** Prefix of all configuration keys. */
    public static final String CONFIG = "/gaugehollow/config/";
    private static final String HALLS_PREFIX = "halls/";
    private static final String REMOVALS_PREFIX = "/gaugehollow/removals/";
    private static final String MEMBERS_PREFIX = "/gaugehollow/members/";

    private StoreKeys()
    {
    }

    /**
     * @param kind resource kind
     * @param name resource name
     * @return key of the resource, relative to {@link #CONFIG}
     */
    public static String resource(ResourceKind kind, String name)
    {
        return kind.plural() + '/' + name;
    }

    /**
     * @param hall data hall
     * @return key of the data hall's assignment map, relative to {@link #CONFIG}
     */
    public static String hallMap(String hall)
    {
        return HALLS_PREFIX + hall;
    }

    /**
     * @param name key relative to {@link #CONFIG}
     * @return whether it is the key of an assignment map
     */
    public static boolean isHallMap(String name)
    {
        return name.startsWith(HALLS_PREFIX);
    }

    /**
     * @param hall data hall
     * @return prefix of the keys of the data hall's boxes
     */
    public static String members(String hall)
    {
        return MEMBERS_PREFIX + hall + '/';
    }

    /**
     * @param hall data hall
     * @param box box id
     * @return key that exists as long as the box's lease
     */
    public static String member(String hall, String box)
    {
        return members(hall) + box;
    }

    /**
     * @param name key relative to {@link #CONFIG}
     * @return key that stores the id of the write that last deleted the given key
     */
    public static String removal(String name)
    {
        return REMOVALS_PREFIX + name;
    }
}
