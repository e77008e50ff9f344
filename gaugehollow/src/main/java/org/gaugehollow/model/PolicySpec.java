/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.List;
import java.util.Map;

/**
 * A placement policy and the classes it governs. Where two policies name the same class, the one
 * changed last governs it.
 *
 * @param type the policy's registered name, such as {@code waiting-first}
 * @param classes the classes it governs
 * @param parameters numbers that the policy understands
 */
public record PolicySpec(String type, List<TaskClass> classes, Map<String, Double> parameters)
{
    /** Checks that a type is named; the registry of policies checks type and parameters. */
    public PolicySpec
    {
        Checks.present(type, "type");
        classes = classes == null ? List.of() : List.copyOf(classes);
        parameters = parameters == null ? Map.of() : Map.copyOf(parameters);
    }
}
