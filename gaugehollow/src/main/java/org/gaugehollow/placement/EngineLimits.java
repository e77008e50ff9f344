/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Map;

import org.gaugehollow.model.TaskClass;

/**
 * Limits of a {@link PlacementEngine}.
 *
 * @param waiting maximum number of waiting tasks of each class; a default applies to absent classes
 * @param waitingInAll maximum number of waiting tasks; beyond it, less urgent tasks are shed
 * @param batchShare maximum share of all slots that batch tasks may use, 0 to 1; the rest stays
 *            available to urgent tasks
 */
public record EngineLimits(Map<TaskClass, Integer> waiting, int waitingInAll, double batchShare)
{
    private static final int DEFAULT_MAX_WAITING_PER_CLASS = 1_000;
    private static final int DEFAULT_MAX_WAITING = 2_000;
    private static final double DEFAULT_BATCH_SHARE = 0.85;

    /** @return the default limits */
    public static EngineLimits defaults()
    {
        return new EngineLimits(Map.of(), DEFAULT_MAX_WAITING, DEFAULT_BATCH_SHARE);
    }

    int maxWaiting(TaskClass taskClass)
    {
        return waiting.getOrDefault(taskClass, DEFAULT_MAX_WAITING_PER_CLASS);
    }
}
