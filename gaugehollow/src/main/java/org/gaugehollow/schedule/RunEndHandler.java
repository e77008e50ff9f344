/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.function.LongSupplier;

import org.gaugehollow.admission.Work;
import org.gaugehollow.job.JobState;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.RunEnd;

/**
 * Applies the end of a run, as reported by a worker, to its task, its job and the worker.
 * <p>
 * Not thread-safe; guarded by the lock of the cell state.
 */
final class RunEndHandler
{
    private final CellState cellState;
    private final LongSupplier nanoTime;

    /**
     * @param cellState finds the tasks
     * @param nanoTime a monotonic clock
     */
    RunEndHandler(CellState cellState, LongSupplier nanoTime)
    {
        this.cellState = cellState;
        this.nanoTime = nanoTime;
    }

    /** Applies the end of a run. Ends of unknown runs are ignored. */
    void handle(TrackedWorker worker, EndedRun end, Effects effects)
    {
        Task task = cellState.findTask(end.task());
        if (task == null)
        {
            return;
        }
        Job job = task.step().job();
        // An end without further effect may be known to this owner only, from an earlier heartbeat or from
        // another member of its gang. It must also not be acknowledged before the progress is stored.
        if (job.isUnwritten())
        {
            effects.addUnwritten(job);
        }
        Task run = task.findRun(worker, end.run());
        if (run == null)
        {
            handleDuplicateEnd(task, worker, end, effects);
            return;
        }
        job.markStarted();
        effects.markChanged(job);
        CellState.saveCheckpoint(run, end.checkpoint());
        if (end.how() == RunEnd.DONE && !task.step().spec().longRunning())
        {
            handleSuccess(run, worker, effects);
        }
        else
        {
            CellState.releaseRun(run, effects);
            if (end.how() == RunEnd.FAILED && !task.hasSucceeded())
            {
                handleFailure(task, worker, end.run(), effects);
            }
        }
        CellState.completeIfAllDone(job, effects);
    }

    /**
     * Handles the end of an abandoned run. An earlier owner may have abandoned it, so a successful end
     * always counts.
     */
    private void handleDuplicateEnd(Task task, TrackedWorker worker, EndedRun end, Effects effects)
    {
        if (!task.allowsDuplicateRuns() || task.phase() == Task.Phase.DONE)
        {
            return;
        }
        boolean wasAbandoned = task.endAbandonedRun(end.run());
        if (end.how() == RunEnd.DONE)
        {
            effects.markChanged(task.step().job());
            completeByDuplicate(task, effects);
        }
        else if (end.how() == RunEnd.FAILED && wasAbandoned)
        {
            effects.markChanged(task.step().job());
            handleFailure(task, worker, end.run(), effects);
        }
    }

    private static void completeByDuplicate(Task task, Effects effects)
    {
        task.completeByAbandonedRun();
        if (task.isOnWorker())
        {
            effects.stopUnlessStopping(task);
        }
        stopCopy(task, effects);
        CellState.completeIfAllDone(task.step().job(), effects);
    }

    /** Records the work of a completed task; one end stands for all tasks of a gang. */
    private void recordCompletion(Task task)
    {
        Step step = task.step();
        cellState.completions().add(step.job().queue().service(),
                Work.coreMillis(step.needs(), step.tasksToStartTogether(), step.spec().estimateMillis()),
                nanoTime.getAsLong());
    }

    /** Handles a run of a task or its copy that ended successfully. */
    private void handleSuccess(Task run, TrackedWorker worker, Effects effects)
    {
        worker.health().recordSuccess();
        if (run.step().spec().gang())
        {
            recordCompletion(run);
            run.step().tasks().forEach(Task::complete);
            return;
        }
        if (run.task().hasSucceeded())
        {
            run.release();
            return;
        }
        completeBy(run, effects);
        cellState.speeds().onRunEnded(run.task(), nanoTime.getAsLong());
    }

    /** Completes a task by the first of its runs that ended successfully. */
    private void completeBy(Task run, Effects effects)
    {
        recordCompletion(run);
        Task task = run.task();
        if (task.copy() != null)
        {
            effects.addSettledCopy(run.isCopy() ? task : task.copy(), run.isCopy());
        }
        if (run.isCopy())
        {
            task.completeByCopy(nanoTime.getAsLong());
        }
        else
        {
            task.complete(nanoTime.getAsLong());
        }
        stopCopy(task, effects);
    }

    private static void stopCopy(Task task, Effects effects)
    {
        if (task.copy() != null)
        {
            effects.stopUnlessStopping(task.copy());
        }
    }

    private void handleFailure(Task task, TrackedWorker worker, int run, Effects effects)
    {
        Step step = task.step();
        Job job = step.job();
        task.recordFailureOn(worker);
        if (step.spec().longRunning())
        {
            worker.health().recordFailure(task.name(), nanoTime.getAsLong());
            return;
        }
        worker.health().recordFailure(job.id(), nanoTime.getAsLong());
        if (step.spec().gang())
        {
            step.recordGangFailure(run);
        }
        else
        {
            task.recordFailure();
        }
        if (step.failuresOf(task) >= job.queue().maxAttempts())
        {
            CellState.finish(job, JobState.FAILED, effects);
        }
    }
}
