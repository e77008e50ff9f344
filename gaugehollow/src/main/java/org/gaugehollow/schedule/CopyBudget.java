/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.function.ToIntFunction;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.speculation.CopyPolicy;

/**
 * The capacity that copies may use in one planning round. Guarded by the lock of the cell state.
 */
final class CopyBudget
{
    private final ComputeResources total;
    private final ComputeResources free;
    /** What waiting tasks need, and the copies of this round. */
    private ComputeResources claimed;
    private ComputeResources copies;

    private CopyBudget(ComputeResources total, ComputeResources free, ComputeResources claimed,
            ComputeResources copies)
    {
        this.total = total;
        this.free = free;
        this.claimed = claimed;
        this.copies = copies;
    }

    /**
     * Computes the budget after a planning round. Runs that lost against their copy and still end count
     * as copies.
     *
     * @param cellState the cell state
     * @param acceptingWorkers the workers on which tasks can start
     * @return the budget
     */
    static CopyBudget of(CellState cellState, List<TrackedWorker> acceptingWorkers)
    {
        ComputeResources total = ComputeResources.NONE;
        ComputeResources free = ComputeResources.NONE;
        for (TrackedWorker worker : acceptingWorkers)
        {
            total = total.plus(worker.entry().capacity());
            free = free.plus(worker.free());
        }
        ComputeResources waiting = ComputeResources.NONE;
        for (Step step : cellState.waitingSteps())
        {
            waiting = waiting.plus(step.needs().times(step.waitingTasks().size()));
        }
        ComputeResources copies = cellState.workers().stream().flatMap(worker -> worker.tasks().stream())
                .filter(Task::isCopy).map(task -> task.step().needs())
                .reduce(ComputeResources.NONE, ComputeResources::plus);
        return new CopyBudget(total, free, waiting, copies);
    }

    /** Describes the capacity as if a copy of a task of the step ran. */
    CopyPolicy.Cell with(Step step)
    {
        ComputeResources allClaimed = claimed.plus(step.needs());
        ComputeResources allCopies = copies.plus(step.needs());
        return new CopyPolicy.Cell(
                Math.min(spareShare(allClaimed, ComputeResources::cpuMillis),
                        spareShare(allClaimed, ComputeResources::memoryMib)),
                Math.max(share(allCopies, ComputeResources::cpuMillis),
                        share(allCopies, ComputeResources::memoryMib)));
    }

    private double spareShare(ComputeResources allClaimed, ToIntFunction<ComputeResources> component)
    {
        return share(free, component) - share(allClaimed, component);
    }

    private double share(ComputeResources amount, ToIntFunction<ComputeResources> component)
    {
        return (double) component.applyAsInt(amount) / Math.max(1, component.applyAsInt(total));
    }

    /** Counts a copy that was started. */
    void add(Step step)
    {
        claimed = claimed.plus(step.needs());
        copies = copies.plus(step.needs());
    }
}
