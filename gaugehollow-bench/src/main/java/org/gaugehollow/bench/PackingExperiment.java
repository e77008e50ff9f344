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
 * Measures how full a cell is when the first task does not fit, for each policy on the same
 * sequences of tasks, and how many accelerators are stranded: free, but on workers without capacity
 * for the smallest task that needs one.
 */
public final class PackingExperiment
{
    private static final int SEED_COUNT = 31;
    private static final int WORKER_COUNT = 30;
    private static final ComputeResources PLAIN = new ComputeResources(64, 32_000, 65_536, 0);
    private static final ComputeResources ACCELERATED = new ComputeResources(64, 32_000, 65_536, 2);
    private static final ComputeResources SMALLEST_ACCELERATED = new ComputeResources(1, 2_000, 4_096, 1);
    private static final String[] POLICIES = {"random", "round-robin", "first-fit", "least-connections",
            "waiting-first", "packing-first"};

    /** Result of one policy on one sequence, as shares of the cell capacity. */
    private record Fill(double cpu, double memory, double accelerators, double stranded, int placed)
    {
    }

    private PackingExperiment()
    {
    }

    /**
     * Prints a table of the results.
     *
     * @param args not used
     */
    public static void main(String[] args)
    {
        System.out.printf("%-18s %22s %22s %22s %22s %22s%n", "policy", "cpu %", "memory %", "accelerators %",
                "stranded %", "placed");
        for (String policy : POLICIES)
        {
            List<Fill> fills = new ArrayList<>();
            for (int seed = 1; seed <= SEED_COUNT; seed++)
            {
                fills.add(fillCell(policy, seed));
            }
            System.out.printf("%-18s %22s %22s %22s %22s %22s%n", policy,
                    formatSpread(fills, f -> f.cpu * 100), formatSpread(fills, f -> f.memory * 100),
                    formatSpread(fills, f -> f.accelerators * 100),
                    formatSpread(fills, f -> f.stranded * 100), formatSpread(fills, Fill::placed));
        }
        System.out.println("each cell: median (least to most) over " + SEED_COUNT
                + " sequences, the same for every policy");
    }

    private static String formatSpread(List<Fill> fills, ToDoubleFunction<Fill> value)
    {
        double[] sorted = fills.stream().mapToDouble(value).sorted().toArray();
        return String.format("%.1f (%.1f to %.1f)", sorted[sorted.length / 2], sorted[0],
                sorted[sorted.length - 1]);
    }

    private static Fill fillCell(String type, int seed)
    {
        PlacementPolicy policy = new PolicyRegistry().create(new PolicySpec(type, null, null));
        UniformRandomProvider random = RandomSource.XO_SHI_RO_128_PP.create(seed);
        WorkerIndex index = new WorkerIndex();
        ComputeResources capacity = ComputeResources.NONE;
        for (int i = 0; i < WORKER_COUNT; i++)
        {
            ComputeResources worker = i % 3 == 0 ? ACCELERATED : PLAIN;
            index.put(String.format("w%02d", i), worker, worker);
            capacity = capacity.plus(worker);
        }
        int placed = 0;
        while (true)
        {
            ComputeResources demand = nextDemand(random);
            Optional<String> chosen = policy.choose(index, demand);
            if (chosen.isEmpty())
            {
                return createFill(index, capacity, placed);
            }
            WorkerIndex.State state = index.workers().get(chosen.get());
            index.put(chosen.get(), state.capacity(), state.free().minus(demand));
            placed++;
        }
    }

    /** Draws a demand: mostly small calls, then memory-bound, CPU-bound and a few accelerator tasks. */
    private static ComputeResources nextDemand(UniformRandomProvider random)
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

    private static Fill createFill(WorkerIndex index, ComputeResources capacity, int placed)
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
        return new Fill(usedShare(capacity.cpuMillis(), free.cpuMillis()),
                usedShare(capacity.memoryMib(), free.memoryMib()),
                usedShare(capacity.accelerators(), free.accelerators()),
                (double) stranded / capacity.accelerators(), placed);
    }

    private static double usedShare(int capacity, int free)
    {
        return (capacity - free) / (double) capacity;
    }
}
