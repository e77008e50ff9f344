/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.function.LongSupplier;

import org.gaugehollow.job.JobState;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.RunEnd;

/**
 * What the end of a run, as a worker lists it, means for its task, its job and the worker. Not
 * thread-safe; used under the ledger's lock.
 */
final class RunEndHandler
{
    private final CellState ledger;
    private final LongSupplier nanoTime;

    /**
     * @param ledger the tasks
     * @param nanoTime a monotonic clock
     */
    RunEndHandler(CellState ledger, LongSupplier nanoTime)
    {
        this.ledger = ledger;
        this.nanoTime = nanoTime;
    }

    /** Takes note of an end; ends of runs that are not known any more change nothing. */
    void handle(TrackedWorker slot, EndedRun end, Effects effects)
    {
        Task task = ledger.find(end.task());
        if (task == null)
        {
            return;
        }
        Job job = task.step().job();
        // An end that changes nothing any more may be known to this owner only, from an earlier look or
        // from another member of its gang: it too stays open until the store has it.
        if (job.isUnwritten())
        {
            effects.unwritten(job);
        }
        if (!task.isAt(slot, end.run()))
        {
            endOfCopy(task, slot, end, effects);
            return;
        }
        effects.changed(job);
        CellState.saveCheckpoint(task, end.checkpoint());
        if (end.how() == RunEnd.DONE && !task.step().spec().longRunning())
        {
            done(task, slot, nanoTime.getAsLong());
        }
        else
        {
            task.release();
            if (end.how() == RunEnd.FAILED && task.phase() != Task.Phase.DONE)
            {
                failed(task, slot, end.run(), effects);
            }
        }
        CellState.finishIfAllDone(job, effects);
    }

    /**
     * The end of a run that was left on a worker that did not answer. An earlier owner may have left it
     * too, so a good end counts in any case.
     */
    private void endOfCopy(Task task, TrackedWorker slot, EndedRun end, Effects effects)
    {
        if (!task.mayHaveCopies() || task.phase() == Task.Phase.DONE)
        {
            return;
        }
        boolean wasLeft = task.endCopy(end.run());
        if (end.how() == RunEnd.DONE)
        {
            effects.changed(task.step().job());
            doneByCopy(task, effects);
        }
        else if (end.how() == RunEnd.FAILED && wasLeft)
        {
            effects.changed(task.step().job());
            failed(task, slot, end.run(), effects);
        }
    }

    private static void doneByCopy(Task task, Effects effects)
    {
        task.doneByCopy();
        if (task.occupies() && task.phase() != Task.Phase.STOPPING)
        {
            effects.stop(task);
        }
        CellState.finishIfAllDone(task.step().job(), effects);
    }

    private static void done(Task task, TrackedWorker slot, long nowNanos)
    {
        slot.health().recordSuccess();
        if (task.step().spec().gang())
        {
            task.step().tasks().forEach(Task::done);
            return;
        }
        task.done(nowNanos);
    }

    private void failed(Task task, TrackedWorker slot, int run, Effects effects)
    {
        Step step = task.step();
        Job job = step.job();
        task.failedOn(slot);
        if (step.spec().longRunning())
        {
            slot.health().recordFailure(task.name(), nanoTime.getAsLong());
            return;
        }
        slot.health().recordFailure(job.id(), nanoTime.getAsLong());
        if (step.spec().gang())
        {
            step.gangFailed(run);
        }
        else
        {
            task.failed();
        }
        int failures = step.spec().gang() ? step.tasks().getFirst().failures() : task.failures();
        if (failures >= job.queue().maxAttempts())
        {
            CellState.finish(job, JobState.FAILED, effects);
        }
    }
}
