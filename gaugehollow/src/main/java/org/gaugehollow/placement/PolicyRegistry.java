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
    private static final String RESERVE = "acceleratorReserve";
    private static final String BALANCE = "balanceWeight";
    private static final String STRAND = "strandWeight";
    private static final String SEED = "seed";
    private static final double DEFAULT_WAITING_RESERVE = 0.25;
    private static final double DEFAULT_PACKING_RESERVE = 10;
    private static final double DEFAULT_BALANCE = 1;
    private static final double DEFAULT_STRAND = 100;
    private static final double LARGEST_PARAMETER = 1_000_000;

    private record Entry(List<String> parameters, Function<Map<String, Double>, PlacementPolicy> factory)
    {
    }

    private final Map<String, Entry> entries = new TreeMap<>();

    /** Registers the policies of this library. */
    public PolicyRegistry()
    {
        register(WAITING_FIRST, List.of(RESERVE), p -> new ScoredPolicy(
                new WaitingFirstScore(p.getOrDefault(RESERVE, DEFAULT_WAITING_RESERVE))));
        register(PACKING_FIRST, List.of(RESERVE, BALANCE, STRAND),
                p -> new ScoredPolicy(new PackingFirstScore(p.getOrDefault(RESERVE, DEFAULT_PACKING_RESERVE),
                        p.getOrDefault(BALANCE, DEFAULT_BALANCE), p.getOrDefault(STRAND, DEFAULT_STRAND))));
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
        entries.put(type, new Entry(List.copyOf(parameters), factory));
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
        Entry entry = entries.get(spec.type());
        if (entry == null)
        {
            throw invalid("type: expected one of " + String.join(", ", entries.keySet()));
        }
        for (Map.Entry<String, Double> parameter : spec.parameters().entrySet())
        {
            if (!entry.parameters.contains(parameter.getKey()))
            {
                throw invalid("parameters: " + spec.type() + " understands " + entry.parameters);
            }
            double value = parameter.getValue();
            if (!(value >= 0 && value <= LARGEST_PARAMETER))
            {
                throw invalid("parameters." + parameter.getKey() + ": expected 0 to " + LARGEST_PARAMETER);
            }
        }
        return entry.factory.apply(spec.parameters());
    }

    private static GaugehollowException invalid(String message)
    {
        return new GaugehollowException(ResultCode.RESOURCE_INVALID, message);
    }
}
