/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * Splits one class of work between two policies by key hash.
 *
 * @param taskClass the class
 * @param first the name of the first policy
 * @param second the name of the second policy
 * @param secondPercent how many of a hundred requests the second policy decides
 */
public record ComparisonSpec(TaskClass taskClass, String first, String second, int secondPercent)
{
    /** Checks that all is named and in range. */
    public ComparisonSpec
    {
        Checks.present(taskClass, "taskClass");
        Checks.name(first, "first");
        Checks.name(second, "second");
        Checks.range(secondPercent, 0, 100, "secondPercent");
    }
}
