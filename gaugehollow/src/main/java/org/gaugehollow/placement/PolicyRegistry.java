/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.model.ResultCode;

/** Registry of the policy types that a configuration resource may name. */
public final class PolicyRegistry
{
    /** The policy type that spreads load to keep waiting times short. */
    public static final String WAITING_FIRST = "waiting-first";
    /** The policy type that packs tasks onto few workers. */
    public static final String PACKING_FIRST = "packing-first";
    private static final String ACCELERATOR_RESERVE = "acceleratorReserve";
    private static final String BALANCE_WEIGHT = "balanceWeight";
    private static final String STRAND_WEIGHT = "strandWeight";
    private static final String SEED = "seed";
    private static final double DEFAULT_WAITING_ACCELERATOR_RESERVE = 0.25;
    private static final double DEFAULT_PACKING_ACCELERATOR_RESERVE = 10;
    private static final double DEFAULT_BALANCE_WEIGHT = 1;
    private static final double DEFAULT_STRAND_WEIGHT = 100;
    private static final double MAX_PARAMETER_VALUE = 1_000_000;

    private record Entry(List<String> parameters, Function<Map<String, Double>, PlacementPolicy> factory)
    {
    }

    private final Map<String, Entry> entries = new TreeMap<>();

    /** Creates a registry with the built-in policy types. */
    public PolicyRegistry()
    {
        register(WAITING_FIRST, List.of(ACCELERATOR_RESERVE), p -> new ScoredPolicy(new WaitingFirstScore(
                p.getOrDefault(ACCELERATOR_RESERVE, DEFAULT_WAITING_ACCELERATOR_RESERVE))));
        register(PACKING_FIRST, List.of(ACCELERATOR_RESERVE, BALANCE_WEIGHT, STRAND_WEIGHT),
                p -> new ScoredPolicy(new PackingFirstScore(
                        p.getOrDefault(ACCELERATOR_RESERVE, DEFAULT_PACKING_ACCELERATOR_RESERVE),
                        p.getOrDefault(BALANCE_WEIGHT, DEFAULT_BALANCE_WEIGHT),
                        p.getOrDefault(STRAND_WEIGHT, DEFAULT_STRAND_WEIGHT))));
        register("random", List.of(SEED), p -> new RandomPolicy(p.getOrDefault(SEED, 1.0).longValue()));
        register("round-robin", List.of(), p -> new RoundRobinPolicy());
        register("first-fit", List.of(),
                p -> (index, demand) -> RoundRobinPolicy.firstFit(index.workers(), demand));
        register("least-connections", List.of(),
                p -> new ScoredPolicy((capacity, free, demand) -> capacity.slots() - free.slots()));
    }

    /**
     * Registers a policy type.
     *
     * @param type the type's name in configuration resources
     * @param parameters the names of the accepted parameters
     * @param factory creates a policy from the given parameter values
     */
    public void register(String type, List<String> parameters,
            Function<Map<String, Double>, PlacementPolicy> factory)
    {
        entries.put(type, new Entry(List.copyOf(parameters), factory));
    }

    /**
     * Creates a policy.
     *
     * @param spec the policy's type and parameters
     * @return a new policy
     * @throws GaugehollowException {@link ResultCode#RESOURCE_INVALID} for an unknown type or parameter
     *             or a value out of range
     */
    public PlacementPolicy create(PolicySpec spec)
    {
        Entry entry = entries.get(spec.type());
        if (entry == null)
        {
            throw invalid("type: expected one of " + String.join(", ", entries.keySet()));
        }
        for (Map.Entry<String, Double> parameter : spec.parameters().entrySet())
        {
            if (!entry.parameters.contains(parameter.getKey()))
            {
                throw invalid("parameters: " + spec.type() + " accepts " + entry.parameters);
            }
            double value = parameter.getValue();
            if (!(value >= 0 && value <= MAX_PARAMETER_VALUE))
            {
                throw invalid("parameters." + parameter.getKey() + ": expected 0 to " + MAX_PARAMETER_VALUE);
            }
        }
        return entry.factory.apply(spec.parameters());
    }

    private static GaugehollowException invalid(String message)
    {
        return new GaugehollowException(ResultCode.RESOURCE_INVALID, message);
    }
}
