/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.function.LongSupplier;

import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;

/**
 * Puts a job back into the state that an earlier owner recorded. Not thread-safe; used under the
 * ledger's lock.
 */
final class JobRestoration
{
    private final TrackedWorkers workers;
    private final CrashGuard crashGuard;
    private final LongSupplier nanoTime;

    /**
     * @param workers gets a slot for each worker on which a run may be
     * @param crashGuard follows tasks under which workers have crashed
     * @param nanoTime a monotonic clock
     */
    JobRestoration(TrackedWorkers workers, CrashGuard crashGuard, LongSupplier nanoTime)
    {
        this.workers = workers;
        this.crashGuard = crashGuard;
        this.nanoTime = nanoTime;
    }

    /** Takes over the state of a job and the runs that may be there. */
    void restore(Job job, JobProgress progress)
    {
        job.setState(progress.state());
        for (int k = 0; k < progress.rounds().size(); k++)
        {
            RoundProgress round = progress.rounds().get(k);
            List<Step> steps = job.round(k);
            for (int s = 0; s < steps.size(); s++)
            {
                restoreStep(steps.get(s), round.steps().get(s).tasks());
            }
        }
    }

    private void restoreStep(Step step, List<TaskProgress> recorded)
    {
        for (int i = 0; i < recorded.size(); i++)
        {
            TaskProgress progress = recorded.get(i);
            TrackedWorker slot = progress.worker() == null ? null : workers.get(progress.worker());
            Task task = step.tasks().get(i);
            task.restore(progress, slot, nanoTime.getAsLong());
            crashGuard.onTaskRestored(task);
        }
    }
}
