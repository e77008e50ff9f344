/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.List;

/**
 * How far a job has come, as it lies in the store; written by the cell's owner alone.
 *
 * @param queue the name of the job's queue
 * @param state the state shown to callers
 * @param rounds the progress of each repetition that has begun; null once the state is final and
 *            nothing of the job may run any more
 * @param customer the name of the job's customer; null if it has none
 */
public record JobProgress(String queue, JobState state, List<RoundProgress> rounds, String customer)
{
    /** The progress of a job of no customer; see the components. */
    public JobProgress(String queue, JobState state, List<RoundProgress> rounds)
    {
        this(queue, state, rounds, null);
    }

    /**
     * One repetition of the steps.
     *
     * @param steps one entry for each step
     */
    public record RoundProgress(List<StepProgress> steps)
    {
    }

    /**
     * One step of a repetition.
     *
     * @param tasks one entry for each task
     */
    public record StepProgress(List<TaskProgress> tasks)
    {
    }

    /**
     * One task.
     *
     * @param run the highest run that may have been started, 0 for none
     * @param failures how many runs ended as failed
     * @param done whether a run ended well
     * @param worker the worker on which that run may be running, or null
     * @param checkpoint the newest saved state known, or null
     * @param crashes the workers that crashed under it, or null if there are none
     */
    public record TaskProgress(int run, int failures, boolean done, String worker, String checkpoint,
            CrashHistory crashes)
    {
        /** A task under which no worker has crashed; see the components. */
        public TaskProgress(int run, int failures, boolean done, String worker, String checkpoint)
        {
            this(run, failures, done, worker, checkpoint, null);
        }
    }
}
