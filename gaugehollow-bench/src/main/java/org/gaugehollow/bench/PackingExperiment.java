/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.placement.PlacementPolicy;
import org.gaugehollow.placement.PolicyRegistry;
import org.gaugehollow.placement.WorkerIndex;

/**
 * How full a cell is when the first task is refused, for each policy on the same sequences of
 * tasks, and how many accelerators are then stranded: free, on workers that have no room left for
 * the smallest task that would use one.
 */
public final class PackingExperiment
{
    private static final int SEEDS = 31;
    private static final int WORKERS = 30;
    private static final ComputeResources PLAIN = new ComputeResources(64, 32_000, 65_536, 0);
    private static final ComputeResources ACCELERATED = new ComputeResources(64, 32_000, 65_536, 2);
    private static final ComputeResources SMALLEST_ACCELERATED = new ComputeResources(1, 2_000, 4_096, 1);
    private static final String[] POLICIES = {"random", "round-robin", "first-fit", "least-connections",
            "waiting-first", "packing-first"};

    /** What one policy reached on one sequence, as shares of what the cell holds. */
    private record Fill(double cpu, double memory, double accelerators, double stranded, int placed)
    {
    }

    private PackingExperiment()
    {
    }

    /**
     * Prints a table.
     *
     * @param args none
     */
    public static void main(String[] args)
    {
        System.out.printf("%-18s %22s %22s %22s %22s %22s%n", "policy", "cpu %", "memory %", "accelerators %",
                "stranded %", "placed");
        for (String policy : POLICIES)
        {
            List<Fill> fills = new ArrayList<>();
            for (int seed = 1; seed <= SEEDS; seed++)
            {
                fills.add(fill(policy, seed));
            }
            System.out.printf("%-18s %22s %22s %22s %22s %22s%n", policy, spread(fills, f -> f.cpu * 100),
                    spread(fills, f -> f.memory * 100), spread(fills, f -> f.accelerators * 100),
                    spread(fills, f -> f.stranded * 100), spread(fills, Fill::placed));
        }
        System.out.println(
                "each cell: median (least to most) over " + SEEDS + " sequences, the same for every policy");
    }

    private static String spread(List<Fill> fills, ToDoubleFunction<Fill> value)
    {
        double[] sorted = fills.stream().mapToDouble(value).sorted().toArray();
        return String.format("%.1f (%.1f to %.1f)", sorted[sorted.length / 2], sorted[0],
                sorted[sorted.length - 1]);
    }

    private static Fill fill(String type, int seed)
    {
        PlacementPolicy policy = new PolicyRegistry().create(new PolicySpec(type, null, null));
        UniformRandomProvider random = RandomSource.XO_SHI_RO_128_PP.create(seed);
        WorkerIndex index = new WorkerIndex();
        ComputeResources capacity = ComputeResources.NONE;
        for (int i = 0; i < WORKERS; i++)
        {
            ComputeResources worker = i % 3 == 0 ? ACCELERATED : PLAIN;
            index.put(String.format("w%02d", i), worker, worker);
            capacity = capacity.plus(worker);
        }
        int placed = 0;
        while (true)
        {
            ComputeResources demand = demand(random);
            Optional<String> chosen = policy.choose(index, demand);
            if (chosen.isEmpty())
            {
                return result(index, capacity, placed);
            }
            WorkerIndex.State state = index.workers().get(chosen.get());
            index.put(chosen.get(), state.capacity(), state.free().minus(demand));
            placed++;
        }
    }

    /**
     * Small calls, rebuilds that need memory, calculations that need processors, and a few that need
     * accelerators.
     */
    private static ComputeResources demand(UniformRandomProvider random)
    {
        int kind = random.nextInt(100);
        if (kind < 50)
        {
            return new ComputeResources(1, random.nextInt(250, 1_000), random.nextInt(256, 2_048), 0);
        }
        if (kind < 72)
        {
            return new ComputeResources(1, random.nextInt(500, 2_000), random.nextInt(4_096, 12_288), 0);
        }
        if (kind < 97)
        {
            return new ComputeResources(1, random.nextInt(2_000, 6_000), random.nextInt(1_024, 4_096), 0);
        }
        return new ComputeResources(1, random.nextInt(2_000, 6_000), random.nextInt(4_096, 12_288), 1);
    }

    private static Fill result(WorkerIndex index, ComputeResources capacity, int placed)
    {
        ComputeResources free = ComputeResources.NONE;
        int stranded = 0;
        for (WorkerIndex.State state : index.workers().values())
        {
            free = free.plus(state.free());
            boolean usable = state.free()
                    .minusClamped(new ComputeResources(0, 0, 0, state.free().accelerators()))
                    .fits(new ComputeResources(1, SMALLEST_ACCELERATED.cpuMillis(),
                            SMALLEST_ACCELERATED.memoryMib(), 0));
            stranded += usable ? 0 : state.free().accelerators();
        }
        return new Fill(share(capacity.cpuMillis(), free.cpuMillis()),
                share(capacity.memoryMib(), free.memoryMib()),
                share(capacity.accelerators(), free.accelerators()),
                (double) stranded / capacity.accelerators(), placed);
    }

    private static double share(int capacity, int free)
    {
        return (capacity - free) / (double) capacity;
    }
}
