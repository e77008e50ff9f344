/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.List;

/**
 * Stored progress of a job, written only by the cell's owner.
 *
 * @param queue the name of the job's queue
 * @param state the state shown to callers
 * @param rounds the progress of each repetition that has started; null once the state is final and
 *            no run of the job can be active
 * @param customer the name of the job's customer; null if it has none
 */
public record JobProgress(String queue, JobState state, List<RoundProgress> rounds, String customer)
{
    /** Creates the progress of a job without a customer. */
    public JobProgress(String queue, JobState state, List<RoundProgress> rounds)
    {
        this(queue, state, rounds, null);
    }

    /**
     * Progress of one repetition of the steps.
     *
     * @param steps one entry for each step
     */
    public record RoundProgress(List<StepProgress> steps)
    {
    }

    /**
     * Progress of one step of a repetition.
     *
     * @param tasks one entry for each task
     */
    public record StepProgress(List<TaskProgress> tasks)
    {
    }

    /**
     * Progress of one task.
     * <p>
     * A gang fails as a whole: the {@code failures} of its first task is the number of its failed runs,
     * and that of its second task is the number of the last run that was counted. Earlier versions
     * reject unknown fields, but keep this value unchanged.
     *
     * @param run the number of the latest run that may have been started, 0 for none
     * @param failures the number of failed runs
     * @param done whether a run has succeeded
     * @param worker the worker on which the run may be active, or null
     * @param checkpoint the latest known checkpoint, or null
     * @param crashes the workers that crashed during runs of the task, or null if there are none
     * @param copy the task's second run, or null if there is none; its number may be the higher one
     */
    public record TaskProgress(int run, int failures, boolean done, String worker, String checkpoint,
            CrashHistory crashes, CopyProgress copy)
    {
        /** Creates the progress of a task without crashes and without a second run. */
        public TaskProgress(int run, int failures, boolean done, String worker, String checkpoint)
        {
            this(run, failures, done, worker, checkpoint, null, null);
        }
    }

    /**
     * Progress of a task's second run, which may exist beside its latest one.
     *
     * @param run the run number
     * @param worker the worker on which the run may be active, or null if it has ended
     */
    public record CopyProgress(int run, String worker)
    {
    }
}
