/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.regex.Pattern;

/** Argument checks for resource and settings records. */
public final class Checks
{
    private static final int MAX_QUOTED_LENGTH = 80;
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

    private Checks()
    {
    }

    /**
     * @param value number to check
     * @param min smallest allowed value
     * @param max largest allowed value
     * @param key key named in the error message
     * @return the value
     */
    public static long range(long value, long min, long max, String key)
    {
        if (value < min || value > max)
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID,
                    key + ": expected " + min + " to " + max + ", found " + value);
        }
        return value;
    }

    /**
     * @param <T> type of the value
     * @param value value to check
     * @param key key named in the error message
     * @return the value, never null
     */
    public static <T> T present(T value, String key)
    {
        if (value == null)
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID, key + ": is required");
        }
        return value;
    }

    /**
     * @param name resource name to check
     * @param key key named in the error message
     * @return the name
     */
    public static String name(String name, String key)
    {
        present(name, key);
        if (!NAME_PATTERN.matcher(name).matches())
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID,
                    key + ": expected 1 to 63 lower-case letters, digits and hyphens, found " + quoted(name));
        }
        return name;
    }

    private static String quoted(String text)
    {
        String shown = text.length() > MAX_QUOTED_LENGTH
                ? text.substring(0, MAX_QUOTED_LENGTH) + "..."
                : text;
        return '"' + shown.replaceAll("[^\\x20-\\x7e]", "?") + '"';
    }
}
