/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.List;
import java.util.function.IntPredicate;

/** The longest chain of steps of a job, by the estimates of the steps. */
public final class CriticalPath
{
    private CriticalPath()
    {
    }

    /**
     * Returns the estimated duration of the longest chain of steps, without those excluded.
     *
     * @param steps the steps of a job
     * @param queue the queue of the job
     * @param isExcluded whether the step with an index takes no time
     * @return duration in milliseconds
     */
    public static long millis(List<StepSpec> steps, QueueSpec queue, IntPredicate isExcluded)
    {
        long[] ends = new long[steps.size()];
        long adviceMillis = (long) queue.adviceIfNeeded()
                .map(advice -> advice.expectedMillis(AdviceSpec.TYPICAL_WORKERS)).orElse(0.0).doubleValue();
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
}
