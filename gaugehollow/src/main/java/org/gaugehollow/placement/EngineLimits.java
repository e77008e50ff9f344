/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Map;

import org.gaugehollow.model.TaskClass;

/**
 * The limits of an engine.
 *
 * @param waiting how many tasks of each class may wait
 * @param waitingInAll how many tasks may wait in all; beyond it the least urgent is shed first
 * @param batchShare the share of all slots that batch may hold, so that urgent work finds room
 */
public record EngineLimits(Map<TaskClass, Integer> waiting, int waitingInAll, double batchShare)
{
    private static final int DEFAULT_MAX_WAITING_PER_CLASS = 1_000;
    private static final int DEFAULT_MAX_WAITING = 2_000;
    private static final double DEFAULT_BATCH_SHARE = 0.85;

    /** @return the limits that apply where the settings say nothing */
    public static EngineLimits defaults()
    {
        return new EngineLimits(Map.of(), DEFAULT_MAX_WAITING, DEFAULT_BATCH_SHARE);
    }

    int maxWaiting(TaskClass taskClass)
    {
        return waiting.getOrDefault(taskClass, DEFAULT_MAX_WAITING_PER_CLASS);
    }
}
