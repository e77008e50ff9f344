/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.Optional;

/** The kinds of resource that operators create. */
public enum ResourceKind
{
    /** A sort of request or task with its class, needs and limits. */
    WORKLOAD("workloads", WorkloadSpec.class),
    /** A placement policy and the classes it governs. */
    POLICY("policies", PolicySpec.class),
    /** A class split between two policies. */
    COMPARISON("comparisons", ComparisonSpec.class),
    /** A team of callers with its home hall and quota. */
    TEAM("teams", TeamSpec.class);

    private final String plural;
    private final Class<?> specType;

    ResourceKind(String plural, Class<?> specType)
    {
        this.plural = plural;
        this.specType = specType;
    }

    /** @return the word in paths and store keys */
    public String plural()
    {
        return plural;
    }

    /** @return the record that holds a resource's content */
    public Class<?> specType()
    {
        return specType;
    }

    /**
     * @param plural the word in a path
     * @return the kind, if there is one
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
