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

/** The resources in force, read into their records. Immutable; a change makes a new one. */
public final class ActiveConfig
{
    private static final String DEFAULT_POLICY = "default";

    private final Map<String, WorkloadSpec> workloads = new HashMap<>();
    private final Map<String, TeamSpec> teams = new HashMap<>();
    private final PolicyAssignments policies;

    /**
     * Reads the entries in force. An entry that cannot be read is reported and left out.
     *
     * @param entries the entries
     * @param registry makes the policies
     * @param badEntry told the name and the fault of each unreadable entry
     */
    public ActiveConfig(Collection<ConfigEntry> entries, PolicyRegistry registry,
            BiConsumer<String, String> badEntry)
    {
        List<ConfigEntry> byAge = entries.stream().sorted(Comparator.comparingLong(ConfigEntry::revision))
                .toList();
        Map<String, PolicyAssignments.Named> named = new HashMap<>();
        Map<TaskClass, PolicyAssignments.Named> governing = new EnumMap<>(TaskClass.class);
        Map<TaskClass, PolicyAssignments.Split> splits = new EnumMap<>(TaskClass.class);
        for (ConfigEntry entry : byAge)
        {
            guard(entry, badEntry, () -> readSpec(entry, registry, named, governing));
        }
        for (ConfigEntry entry : byAge)
        {
            guard(entry, badEntry, () -> readComparison(entry, named, splits));
        }
        PlacementPolicy fallback = registry.create(new PolicySpec(PolicyRegistry.WAITING_FIRST, null, null));
        policies = new PolicyAssignments(governing, splits,
                new PolicyAssignments.Named(DEFAULT_POLICY, fallback));
    }

    /**
     * @param name a workload's name
     * @return its content, if it is in force
     */
    public Optional<WorkloadSpec> workload(String name)
    {
        return Optional.ofNullable(workloads.get(name));
    }

    /**
     * @param name a team's name
     * @return its content, if it is in force
     */
    public Optional<TeamSpec> team(String name)
    {
        return Optional.ofNullable(teams.get(name));
    }

    /** @return which policy governs which class */
    public PolicyAssignments policies()
    {
        return policies;
    }

    /**
     * Reads a resource's content strictly.
     *
     * @param kind its kind
     * @param spec its JSON
     * @return the record
     * @throws GaugehollowException with {@link ResultCode#RESOURCE_INVALID}
     */
    public static Object parseSpec(ResourceKind kind, byte[] spec)
    {
        return Json.read(spec, kind.specType(), ResultCode.RESOURCE_INVALID);
    }

    private static void guard(ConfigEntry entry, BiConsumer<String, String> badEntry, Runnable read)
    {
        try
        {
            read.run();
        }
        catch (GaugehollowException e)
        {
            badEntry.accept(entry.name(), e.getMessage());
        }
    }

    private void readSpec(ConfigEntry entry, PolicyRegistry registry,
            Map<String, PolicyAssignments.Named> named, Map<TaskClass, PolicyAssignments.Named> governing)
    {
        String name = nameOf(entry);
        switch (specOf(entry))
        {
            case WorkloadSpec workload -> workloads.put(name, workload);
            case TeamSpec team -> teams.put(name, team);
            case PolicySpec policy -> {
                PolicyAssignments.Named made = new PolicyAssignments.Named(name, registry.create(policy));
                named.put(name, made);
                policy.classes().forEach(taskClass -> governing.put(taskClass, made));
            }
            default -> {
                // comparisons are read when all policies are known
            }
        }
    }

    private static void readComparison(ConfigEntry entry, Map<String, PolicyAssignments.Named> named,
            Map<TaskClass, PolicyAssignments.Split> splits)
    {
        if (!(specOf(entry) instanceof ComparisonSpec comparison))
        {
            return;
        }
        PolicyAssignments.Named first = named.get(comparison.first());
        PolicyAssignments.Named second = named.get(comparison.second());
        if (first == null || second == null)
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID, "a compared policy is not in force");
        }
        splits.put(comparison.taskClass(),
                new PolicyAssignments.Split(nameOf(entry), first, second, comparison.secondPercent()));
    }

    private static String nameOf(ConfigEntry entry)
    {
        return entry.name().substring(entry.name().indexOf('/') + 1);
    }

    private static Object specOf(ConfigEntry entry)
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
