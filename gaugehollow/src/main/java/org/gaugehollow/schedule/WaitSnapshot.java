/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The waiting tasks of a term at one time, by reason. Tasks that have waited for less than a second
 * are not included.
 */
public final class WaitSnapshot
{
    /** No waiting tasks. */
    public static final WaitSnapshot EMPTY = new WaitSnapshot();

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<WaitReason, Integer> tasks = new EnumMap<>(WaitReason.class);
    private final Map<WaitReason, Long> longestNanos = new EnumMap<>(WaitReason.class);

    WaitSnapshot()
    {
    }

    /** Adds waiting tasks. Must not be called once the snapshot is published. */
    void add(WaitReason reason, int count, long waitNanos)
    {
        tasks.merge(reason, count, Integer::sum);
        longestNanos.merge(reason, waitNanos, Math::max);
    }

    /** @return the number of waiting tasks by label, for all reasons */
    public Map<String, Double> tasksByLabel()
    {
        Map<String, Double> values = new LinkedHashMap<>();
        for (WaitReason reason : WaitReason.values())
        {
            values.put(reason.label(), tasks.getOrDefault(reason, 0).doubleValue());
        }
        return values;
    }

    /** @return the longest wait in seconds by label, for all reasons */
    public Map<String, Double> longestSecondsByLabel()
    {
        Map<String, Double> values = new LinkedHashMap<>();
        for (WaitReason reason : WaitReason.values())
        {
            values.put(reason.label(), longestNanos.getOrDefault(reason, 0L) / NANOS_PER_SECOND);
        }
        return values;
    }
}
