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

/** The policies that a resource may name, and how each is made from its parameters. */
public final class PolicyRegistry
{
    /** The policy for work whose waiting time counts most. */
    public static final String WAITING_FIRST = "waiting-first";
    /** The policy for work whose packing counts most. */
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

    private record PolicyType(List<String> parameters, Function<Map<String, Double>, PlacementPolicy> factory)
    {
    }

    private final Map<String, PolicyType> policyTypes = new TreeMap<>();

    /** Registers the policies of this library. */
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
     * Adds a policy.
     *
     * @param type the name that resources use
     * @param parameters the parameters it understands
     * @param factory makes it from the parameters given
     */
    public void register(String type, List<String> parameters,
            Function<Map<String, Double>, PlacementPolicy> factory)
    {
        policyTypes.put(type, new PolicyType(List.copyOf(parameters), factory));
    }

    /**
     * Makes a policy.
     *
     * @param spec what the resource says
     * @return a new policy
     * @throws GaugehollowException with {@link ResultCode#RESOURCE_INVALID} for an unknown type or
     *             parameter
     */
    public PlacementPolicy create(PolicySpec spec)
    {
        PolicyType policyType = policyTypes.get(spec.type());
        if (policyType == null)
        {
            throw invalid("type: expected one of " + String.join(", ", policyTypes.keySet()));
        }
        for (Map.Entry<String, Double> parameter : spec.parameters().entrySet())
        {
            if (!policyType.parameters.contains(parameter.getKey()))
            {
                throw invalid("parameters: " + spec.type() + " understands " + policyType.parameters);
            }
            double value = parameter.getValue();
            if (!(value >= 0 && value <= MAX_PARAMETER_VALUE))
            {
                throw invalid("parameters." + parameter.getKey() + ": expected 0 to " + MAX_PARAMETER_VALUE);
            }
        }
        return policyType.factory.apply(spec.parameters());
    }

    private static GaugehollowException invalid(String message)
    {
        return new GaugehollowException(ResultCode.RESOURCE_INVALID, message);
    }
}
