/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.gaugehollow.model.ComparisonSpec;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.Envelope;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.model.ResourceKind;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TaskClass;
import org.gaugehollow.model.TeamSpec;
import org.gaugehollow.model.WorkloadSpec;
import org.gaugehollow.placement.PlacementPolicy;
import org.gaugehollow.placement.PolicyAssignments;
import org.gaugehollow.placement.PolicyRegistry;

import com.fasterxml.jackson.core.JsonProcessingException;

/** Parsed configuration in force. Immutable; each change creates a new instance. */
public final class ActiveConfig
{
    private static final String DEFAULT_POLICY = "default";

    private final Map<String, WorkloadSpec> workloads = new HashMap<>();
    private final Map<String, TeamSpec> teams = new HashMap<>();
    private final PolicyAssignments policies;

    /**
     * Parses the entries in force. An invalid entry is reported and skipped.
     *
     * @param entries entries in force
     * @param registry creates the policies
     * @param badEntryHandler receives the name and the error message of each invalid entry
     */
    public ActiveConfig(Collection<ConfigEntry> entries, PolicyRegistry registry,
            BiConsumer<String, String> badEntryHandler)
    {
        List<ConfigEntry> byRevision = entries.stream()
                .sorted(Comparator.comparingLong(ConfigEntry::revision)).toList();
        Map<String, PolicyAssignments.Named> policiesByName = new HashMap<>();
        Map<TaskClass, PolicyAssignments.Named> policiesByClass = new EnumMap<>(TaskClass.class);
        Map<TaskClass, PolicyAssignments.Split> splitsByClass = new EnumMap<>(TaskClass.class);
        for (ConfigEntry entry : byRevision)
        {
            readOrReport(entry, badEntryHandler,
                    () -> readSpec(entry, registry, policiesByName, policiesByClass));
        }
        for (ConfigEntry entry : byRevision)
        {
            readOrReport(entry, badEntryHandler, () -> readComparison(entry, policiesByName, splitsByClass));
        }
        PlacementPolicy defaultPolicy = registry
                .create(new PolicySpec(PolicyRegistry.WAITING_FIRST, null, null));
        policies = new PolicyAssignments(policiesByClass, splitsByClass,
                new PolicyAssignments.Named(DEFAULT_POLICY, defaultPolicy));
    }

    /**
     * @param name workload name
     * @return its specification, if it is in force
     */
    public Optional<WorkloadSpec> workload(String name)
    {
        return Optional.ofNullable(workloads.get(name));
    }

    /**
     * @param name team name
     * @return its specification, if it is in force
     */
    public Optional<TeamSpec> team(String name)
    {
        return Optional.ofNullable(teams.get(name));
    }

    /** @return policy of each task class */
    public PolicyAssignments policies()
    {
        return policies;
    }

    /**
     * Parses a resource's content strictly.
     *
     * @param kind kind of the resource
     * @param spec content as JSON
     * @return specification record of the kind
     * @throws GaugehollowException with {@link ResultCode#RESOURCE_INVALID} if the content is invalid
     */
    public static Object parseSpec(ResourceKind kind, byte[] spec)
    {
        return Json.read(spec, kind.specType(), ResultCode.RESOURCE_INVALID);
    }

    private static void readOrReport(ConfigEntry entry, BiConsumer<String, String> badEntryHandler,
            Runnable read)
    {
        try
        {
            read.run();
        }
        catch (GaugehollowException e)
        {
            badEntryHandler.accept(entry.name(), e.getMessage());
        }
    }

    private void readSpec(ConfigEntry entry, PolicyRegistry registry,
            Map<String, PolicyAssignments.Named> policiesByName,
            Map<TaskClass, PolicyAssignments.Named> policiesByClass)
    {
        String name = resourceNameOf(entry);
        switch (parseEntry(entry))
        {
            case WorkloadSpec workload -> workloads.put(name, workload);
            case TeamSpec team -> teams.put(name, team);
            case PolicySpec policy -> {
                PolicyAssignments.Named namedPolicy = new PolicyAssignments.Named(name,
                        registry.create(policy));
                policiesByName.put(name, namedPolicy);
                policy.classes().forEach(taskClass -> policiesByClass.put(taskClass, namedPolicy));
            }
            default -> {
                // Comparisons refer to policies and are read after them.
            }
        }
    }

    private static void readComparison(ConfigEntry entry, Map<String, PolicyAssignments.Named> policiesByName,
            Map<TaskClass, PolicyAssignments.Split> splitsByClass)
    {
        if (!(parseEntry(entry) instanceof ComparisonSpec comparison))
        {
            return;
        }
        PolicyAssignments.Named first = policiesByName.get(comparison.first());
        PolicyAssignments.Named second = policiesByName.get(comparison.second());
        if (first == null || second == null)
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID,
                    "a policy of the comparison is not in force");
        }
        splitsByClass.put(comparison.taskClass(), new PolicyAssignments.Split(resourceNameOf(entry), first,
                second, comparison.secondPercent()));
    }

    private static String resourceNameOf(ConfigEntry entry)
    {
        return entry.name().substring(entry.name().indexOf('/') + 1);
    }

    private static Object parseEntry(ConfigEntry entry)
    {
        String plural = entry.name().substring(0, entry.name().indexOf('/'));
        Optional<ResourceKind> kind = ResourceKind.ofPlural(plural);
        if (kind.isEmpty())
        {
            return entry;
        }
        Envelope envelope = Json.read(entry.envelope(), Envelope.class, ResultCode.RESOURCE_INVALID);
        try
        {
            return parseSpec(kind.get(), Json.mapper().writeValueAsBytes(envelope.spec()));
        }
        catch (JsonProcessingException e)
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID, "unreadable", e);
        }
    }
}
