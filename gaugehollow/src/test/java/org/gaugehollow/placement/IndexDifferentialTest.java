/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.model.ComputeResources;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against placements by the index that differ from those of a full scan. */
class IndexDifferentialTest
{
    /** One random operation on the index. */
    record Operation(int action, int worker, ComputeResources resources)
    {
    }

    @Provide
    Arbitrary<List<Operation>> histories()
    {
        Arbitrary<ComputeResources> resources = Combinators
                .combine(Arbitraries.integers().between(1, 3), Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 4), Arbitraries.integers().between(0, 1))
                .as((slots, cpu, memory, accelerators) -> new ComputeResources(slots, cpu * 1000,
                        memory * 2048, accelerators));
        return Combinators.combine(Arbitraries.integers().between(0, 9),
                Arbitraries.integers().between(0, 14), resources).as(Operation::new).list().ofMinSize(20)
                .ofMaxSize(200);
    }

    @Property(tries = 300, seed = "4711")
    void waitingFirst(@ForAll("histories") List<Operation> operations)
    {
        replay(operations, new WaitingFirstScore(0.25));
    }

    @Property(tries = 300, seed = "4712")
    void packingFirst(@ForAll("histories") List<Operation> operations)
    {
        replay(operations, new PackingFirstScore(10, 1, 100));
    }

    private static void replay(List<Operation> operations, WorkerScore score)
    {
        WorkerIndex index = new WorkerIndex();
        NaivePlacement naive = new NaivePlacement(score);
        ScoredPolicy policy = new ScoredPolicy(score);
        Map<String, ComputeResources> free = new HashMap<>();
        List<Map.Entry<String, ComputeResources>> running = new ArrayList<>();
        for (Operation operation : operations)
        {
            String id = "w" + operation.worker;
            if (operation.action == 0)
            {
                index.remove(id);
                naive.remove(id);
                free.remove(id);
                running.removeIf(task -> task.getKey().equals(id));
            }
            else if (operation.action <= 2)
            {
                free.putIfAbsent(id, capacityOf(id));
                put(index, naive, id, free.get(id));
            }
            else if (operation.action == 3 && !running.isEmpty())
            {
                Map.Entry<String, ComputeResources> ended = running.remove(operation.worker % running.size());
                free.merge(ended.getKey(), ended.getValue(), ComputeResources::plus);
                put(index, naive, ended.getKey(), free.get(ended.getKey()));
            }
            else
            {
                Optional<String> chosen = policy.choose(index, operation.resources);
                assertThat(chosen).isEqualTo(naive.choose(operation.resources));
                chosen.ifPresent(worker ->
                {
                    free.computeIfPresent(worker, (w, f) -> f.minus(operation.resources));
                    put(index, naive, worker, free.get(worker));
                    running.add(Map.entry(worker, operation.resources));
                });
            }
        }
    }

    private static void put(WorkerIndex index, NaivePlacement naive, String id, ComputeResources free)
    {
        index.put(id, capacityOf(id), free);
        naive.put(id, capacityOf(id), free);
    }

    private static ComputeResources capacityOf(String id)
    {
        return Integer.parseInt(id.substring(1)) % 3 == 0
                ? new ComputeResources(8, 16_000, 32_768, 2)
                : new ComputeResources(8, 32_000, 65_536, 0);
    }
}
