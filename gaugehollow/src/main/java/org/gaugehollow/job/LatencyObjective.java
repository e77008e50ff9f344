/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.List;
import java.util.function.IntPredicate;

/** Calculates the latency objective of jobs from the estimates of their steps. */
public final class LatencyObjective
{
    /** Multiple of its objective after which a job's result is of no use. */
    public static final int MAX_LATE_FACTOR = 3;
    /** Factor by which the actual duration may exceed the estimates. */
    public static final double ESTIMATE_TOLERANCE = 1.5;
    /**
     * Number of workers in a typical advice call, used to estimate the duration of the call. The users
     * count one call for as many workers into the critical path for each step.
     */
    private static final int TYPICAL_ADVICE_WORKERS = 30;

    private LatencyObjective()
    {
    }

    /**
     * Returns the estimated critical path of steps, without those excluded.
     *
     * @param steps the steps of a job
     * @param queue the queue of the job
     * @param isExcluded whether the step with an index takes no time
     * @return duration in milliseconds
     */
    public static long criticalPathMillis(List<StepSpec> steps, QueueSpec queue, IntPredicate isExcluded)
    {
        long[] ends = new long[steps.size()];
        long adviceMillis = (long) queue.adviceIfNeeded()
                .map(advice -> advice.expectedMillis(TYPICAL_ADVICE_WORKERS)).orElse(0.0).doubleValue();
        long longest = 0;
        for (int i = 0; i < ends.length; i++)
        {
            long start = 0;
            for (int dependency : steps.get(i).dependsOn())
            {
                start = Math.max(start, ends[dependency]);
            }
            ends[i] = start + (isExcluded.test(i) ? 0 : steps.get(i).estimateMillis() + adviceMillis);
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /**
     * @param queue the queue of a job
     * @param criticalPathMillis critical path of the job, in milliseconds
     * @return the latency objective of the job, in milliseconds
     */
    public static long millis(QueueSpec queue, long criticalPathMillis)
    {
        return queue.targetMillis() + (long) (queue.stretch() * criticalPathMillis);
    }

    /**
     * @param queue the queue of a job
     * @param criticalPathMillis critical path of the job, in milliseconds
     * @return the objective if the estimates are too low by the tolerated factor, in milliseconds
     */
    public static long tolerantMillis(QueueSpec queue, long criticalPathMillis)
    {
        return millis(queue, (long) (ESTIMATE_TOLERANCE * criticalPathMillis));
    }

    /**
     * @param job a job
     * @return whether the job has due times or runs until it is cancelled, and so has no objective
     */
    public static boolean isOpenEnded(JobSpec job)
    {
        return job.repeatCount() > 0 || job.steps().stream().anyMatch(StepSpec::longRunning);
    }
}
