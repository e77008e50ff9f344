/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.List;
import java.util.Map;

/**
 * A placement policy and the task classes that use it. If two policies name the same class, the one
 * changed last applies.
 *
 * @param type registered name of the policy, such as {@code waiting-first}
 * @param classes task classes that use the policy
 * @param parameters numeric parameters of the policy
 */
public record PolicySpec(String type, List<TaskClass> classes, Map<String, Double> parameters)
{
    /** Checks that the type is present; the policy registry checks its value and the parameters. */
    public PolicySpec
    {
        Checks.present(type, "type");
        classes = classes == null ? List.of() : List.copyOf(classes);
        parameters = parameters == null ? Map.of() : Map.copyOf(parameters);
    }
}
