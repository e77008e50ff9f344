/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.CopyProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/**
 * Restores a job to the state recorded by an earlier owner. Not thread-safe; guarded by the lock of
 * the cell state.
 */
final class JobRestoration
{
    private final TrackedWorkers workers;
    private final CrashGuard crashGuard;
    private final LongSupplier nanoTime;

    /**
     * @param workers registers each worker that may have a run
     * @param crashGuard tracks the crash history of tasks
     * @param nanoTime monotonic clock, in nanoseconds
     */
    JobRestoration(TrackedWorkers workers, CrashGuard crashGuard, LongSupplier nanoTime)
    {
        this.workers = workers;
        this.crashGuard = crashGuard;
        this.nanoTime = nanoTime;
    }

    /**
     * Restores the state of a job and its possible runs.
     *
     * @throws GaugehollowException {@code STORE_BAD_ANSWER} if the progress does not fit the job;
     *             nothing is restored then
     */
    void restore(Job job, JobProgress progress)
    {
        if (!fits(progress, job))
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "the progress does not fit the job's steps");
        }
        job.restoreState(progress.state());
        for (int roundIndex = 0; roundIndex < progress.rounds().size(); roundIndex++)
        {
            RoundProgress round = progress.rounds().get(roundIndex);
            List<Step> steps = job.round(roundIndex);
            for (int stepIndex = 0; stepIndex < steps.size(); stepIndex++)
            {
                restoreStep(steps.get(stepIndex), round.steps().get(stepIndex).tasks());
            }
        }
    }

    private void restoreStep(Step step, List<TaskProgress> recorded)
    {
        for (int i = 0; i < recorded.size(); i++)
        {
            TaskProgress progress = recorded.get(i);
            TrackedWorker worker = progress.worker() == null ? null : workers.get(progress.worker());
            Task task = step.tasks().get(i);
            task.restore(progress, worker, nanoTime.getAsLong());
            restoreCopy(task, progress.copy());
            crashGuard.onTaskRestored(task);
        }
    }

    private void restoreCopy(Task task, CopyProgress progress)
    {
        if (progress != null)
        {
            TrackedWorker worker = progress.worker() == null ? null : workers.get(progress.worker());
            task.restoreCopy(progress, worker, nanoTime.getAsLong());
        }
    }

    private static boolean fits(JobProgress progress, Job job)
    {
        return progress.state() != null && progress.rounds() != null
                && progress.rounds().size() <= job.record().job().rounds()
                && progress.rounds().stream().allMatch(round -> fits(round, job.record().job().steps()));
    }

    private static boolean fits(RoundProgress round, List<StepSpec> specs)
    {
        List<StepProgress> steps = round == null ? null : round.steps();
        return steps != null && steps.size() == specs.size()
                && IntStream.range(0, specs.size()).allMatch(i -> fits(steps.get(i), specs.get(i)));
    }

    private static boolean fits(StepProgress step, StepSpec spec)
    {
        return step != null && step.tasks() != null && step.tasks().size() <= spec.count()
                && step.tasks().stream().allMatch(Objects::nonNull);
    }
}
