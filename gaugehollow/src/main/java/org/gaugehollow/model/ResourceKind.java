/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.Optional;

/** Kinds of resources that operators create. */
public enum ResourceKind
{
    /** A type of request with its task class, compute resources and limits. */
    WORKLOAD("workloads", WorkloadSpec.class),
    /** A placement policy and the task classes that use it. */
    POLICY("policies", PolicySpec.class),
    /** A task class whose requests are split between two policies. */
    COMPARISON("comparisons", ComparisonSpec.class),
    /** A team of callers with its home data hall and quota. */
    TEAM("teams", TeamSpec.class);

    private final String plural;
    private final Class<?> specType;

    ResourceKind(String plural, Class<?> specType)
    {
        this.plural = plural;
        this.specType = specType;
    }

    /** @return plural name used in paths and store keys */
    public String plural()
    {
        return plural;
    }

    /** @return class of the resource's content */
    public Class<?> specType()
    {
        return specType;
    }

    /**
     * @param plural plural name in a path
     * @return the kind, if the name is known
     */
    public static Optional<ResourceKind> ofPlural(String plural)
    {
        for (ResourceKind kind : values())
        {
            if (kind.plural.equals(plural))
            {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
