/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Lets tasks of which copies may run side by side go on elsewhere while their worker does not
 * answer. All other tasks wait until the worker's lease has surely lapsed. Not thread-safe; used
 * under the ledger's lock.
 */
final class UnresponsiveWorkerGuard
{
    /** Long enough for the next look to be answered where only one connection was lost. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final CellState ledger;

    /**
     * A run that was left where it is.
     *
     * @param task the name of its task
     * @param run its number
     * @param worker the worker that does not answer
     */
    record AbandonedRun(String task, int run, String worker)
    {
    }

    UnresponsiveWorkerGuard(CellState ledger)
    {
        this.ledger = ledger;
    }

    /** Frees the tasks for another run and tells which runs were left. */
    List<AbandonedRun> check(long nowNanos)
    {
        List<AbandonedRun> left = new ArrayList<>();
        for (TrackedWorker slot : ledger.workers())
        {
            if (slot.isUnresponsiveFor(SILENCE_NANOS, nowNanos))
            {
                leaveCopies(slot, left);
            }
        }
        return left;
    }

    /**
     * Only runs whose start was answered: a start that may still arrive must be stopped before anything
     * else can be started on the worker.
     */
    private void leaveCopies(TrackedWorker slot, List<AbandonedRun> left)
    {
        for (Task task : slot.tasks())
        {
            if (task.phase() == Task.Phase.RUNNING && task.mayHaveCopies()
                    && ledger.crashGuard().mayAbandonRun(task, slot))
            {
                ledger.crashGuard().onRunAbandoned(task, slot);
                left.add(new AbandonedRun(task.name(), task.run(), slot.id()));
                task.abandonRun();
            }
        }
    }
}
