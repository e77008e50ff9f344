/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * Splits the requests of one task class between two policies by key hash.
 *
 * @param taskClass task class to split
 * @param first name of the first policy
 * @param second name of the second policy
 * @param secondPercent percentage of requests that the second policy places
 */
public record ComparisonSpec(TaskClass taskClass, String first, String second, int secondPercent)
{
    /** Checks that the class and the policies are present and the percentage is in range. */
    public ComparisonSpec
    {
        Checks.present(taskClass, "taskClass");
        Checks.name(first, "first");
        Checks.name(second, "second");
        Checks.range(secondPercent, 0, 100, "secondPercent");
    }
}
