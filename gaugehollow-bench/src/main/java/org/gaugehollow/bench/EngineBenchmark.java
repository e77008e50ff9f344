/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.model.TaskClass;
import org.gaugehollow.placement.EngineLimits;
import org.gaugehollow.placement.Placement;
import org.gaugehollow.placement.PlacementEngine;
import org.gaugehollow.placement.PolicyAssignments;
import org.gaugehollow.placement.PolicyRegistry;
import org.gaugehollow.placement.TaskDemand;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one placement decision, including the release of an older task, on a cell
 * that is about 80 % full.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class EngineBenchmark
{
    private static final int SLOTS_PER_WORKER = 8;
    private static final double TARGET_FILL = 0.8;
    private static final ComputeResources PLAIN = new ComputeResources(SLOTS_PER_WORKER, 16_000, 32_768, 0);
    private static final ComputeResources ACCELERATED = new ComputeResources(SLOTS_PER_WORKER, 32_000, 65_536,
            1);

    @Param({"30", "120", "400", "1200"})
    private int workers;

    @Param({"waiting-first", "packing-first", "first-fit", "round-robin", "random", "least-connections"})
    private String policy;

    private final Deque<Placement> running = new ArrayDeque<>();
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_128_PP.create(1);
    private PlacementEngine engine;
    private long lastTaskNumber;

    /** Fills the cell to the target level. */
    @Setup(Level.Trial)
    public void fill()
    {
        PolicyAssignments.Named named = new PolicyAssignments.Named(policy,
                new PolicyRegistry().create(new PolicySpec(policy, null, null)));
        engine = new PlacementEngine(EngineLimits.defaults(),
                new PolicyAssignments(Map.of(), Map.of(), named), System::nanoTime);
        for (int i = 0; i < workers; i++)
        {
            engine.putWorker("worker-" + i, 1, i % 2 == 0 ? PLAIN : ACCELERATED, ComputeResources.NONE, true);
        }
        while (running.size() < workers * SLOTS_PER_WORKER * TARGET_FILL)
        {
            engine.tryPlace(nextDemand()).ifPresent(running::add);
        }
    }

    /**
     * Releases the oldest task and places another one.
     *
     * @return the placement, or empty if the task does not fit
     */
    @Benchmark
    public Optional<Placement> releaseAndPlace()
    {
        engine.release(running.removeFirst());
        Optional<Placement> placed = engine.tryPlace(nextDemand());
        placed.ifPresent(running::add);
        if (placed.isEmpty())
        {
            engine.tryPlace(smallDemand()).ifPresent(running::add);
        }
        return placed;
    }

    private TaskDemand nextDemand()
    {
        ComputeResources needs = new ComputeResources(1, 250 * random.nextInt(1, 8),
                256 * random.nextInt(1, 12), 0);
        return createDemand(needs);
    }

    private TaskDemand smallDemand()
    {
        return createDemand(new ComputeResources(1, 0, 0, 0));
    }

    private TaskDemand createDemand(ComputeResources needs)
    {
        lastTaskNumber++;
        return new TaskDemand("task-" + lastTaskNumber, TaskClass.BOOKING, "team", 1, 0, needs,
                Long.MAX_VALUE);
    }
}
