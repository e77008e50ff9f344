/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.EnumMap;
import java.util.Map;

import org.gaugehollow.model.KeySlots;
import org.gaugehollow.model.TaskClass;

/**
 * Which policy governs which class at one configuration revision, comparisons included. Immutable.
 */
public final class PolicyAssignments
{
    private static final int PERCENT = 100;

    /**
     * A policy under the name of its resource.
     *
     * @param name the resource's name
     * @param policy the policy
     */
    public record Named(String name, PlacementPolicy policy)
    {
    }

    /**
     * The two arms of a comparison.
     *
     * @param comparison the resource's name
     * @param first the first arm
     * @param second the second arm
     * @param secondPercent how many of a hundred tasks the second arm decides
     */
    public record Split(String comparison, Named first, Named second, int secondPercent)
    {
    }

    private final Map<TaskClass, Named> policiesByClass;
    private final Map<TaskClass, Split> splitsByClass;
    private final Named fallback;

    /**
     * @param policiesByClass the policy of each class that has one
     * @param splitsByClass the comparison of each class that has one
     * @param fallback the policy of all other classes
     */
    public PolicyAssignments(Map<TaskClass, Named> policiesByClass, Map<TaskClass, Split> splitsByClass,
            Named fallback)
    {
        this.policiesByClass = new EnumMap<>(TaskClass.class);
        this.policiesByClass.putAll(policiesByClass);
        this.splitsByClass = new EnumMap<>(TaskClass.class);
        this.splitsByClass.putAll(splitsByClass);
        this.fallback = fallback;
    }

    /**
     * The policy that decides a task. The same task always gets the same arm of a comparison.
     *
     * @param taskClass the task's class
     * @param task the task's id
     * @return the policy under its name
     */
    public Named policyFor(TaskClass taskClass, String task)
    {
        Split split = splitsByClass.get(taskClass);
        if (split == null)
        {
            return policiesByClass.getOrDefault(taskClass, fallback);
        }
        long bucket = Long.remainderUnsigned(KeySlots.hash(split.comparison + '/' + task), PERCENT);
        return bucket < split.secondPercent ? split.second : split.first;
    }
}
