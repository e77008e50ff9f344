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
 * The placement policies and policy comparisons of the task classes at one configuration revision.
 * Immutable.
 */
public final class PolicyAssignments
{
    private static final int PERCENT = 100;

    /**
     * A policy with the name of its configuration resource.
     *
     * @param name the resource's name
     * @param policy the policy
     */
    public record NamedPolicy(String name, PlacementPolicy policy)
    {
    }

    /**
     * The two arms of a policy comparison.
     *
     * @param comparison the name of the comparison's configuration resource
     * @param first the first arm
     * @param second the second arm
     * @param secondPercent percentage of tasks that the second arm places
     */
    public record Split(String comparison, NamedPolicy first, NamedPolicy second, int secondPercent)
    {
    }

    private final Map<TaskClass, NamedPolicy> policiesByClass;
    private final Map<TaskClass, Split> splitsByClass;
    private final NamedPolicy fallback;

    /**
     * @param policiesByClass the policies of the classes that have one
     * @param splitsByClass the comparisons of the classes that have one
     * @param fallback the policy of all other classes
     */
    public PolicyAssignments(Map<TaskClass, NamedPolicy> policiesByClass, Map<TaskClass, Split> splitsByClass,
            NamedPolicy fallback)
    {
        this.policiesByClass = new EnumMap<>(TaskClass.class);
        this.policiesByClass.putAll(policiesByClass);
        this.splitsByClass = new EnumMap<>(TaskClass.class);
        this.splitsByClass.putAll(splitsByClass);
        this.fallback = fallback;
    }

    /**
     * Returns the policy that places a task. The arm of a comparison is chosen by a hash of the task
     * id, so a task always gets the same one.
     *
     * @param taskClass the task's class
     * @param task the task's id
     * @return the policy and its name
     */
    public NamedPolicy policyFor(TaskClass taskClass, String task)
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
