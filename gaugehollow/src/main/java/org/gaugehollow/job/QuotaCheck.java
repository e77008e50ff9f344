/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/** Checks on submission whether a job can ever run within its customer's quota. */
public final class QuotaCheck
{
    private QuotaCheck()
    {
    }

    /**
     * @param job the job
     * @param customer the job's customer
     * @throws GaugehollowException {@code QUOTA_TOO_SMALL} if a single task or a whole gang needs more
     *             than the quota
     */
    public static void check(JobSpec job, Customer customer)
    {
        for (StepSpec step : job.steps())
        {
            int concurrentTasks = step.gang() ? step.count() : 1;
            if (!fits(customer.quota(), step.needs(), concurrentTasks))
            {
                throw new GaugehollowException(ResultCode.QUOTA_TOO_SMALL,
                        "a step needs " + concurrentTasks + " times " + step.needs()
                                + " at the same time; the quota of " + customer.name() + " is "
                                + customer.quota());
            }
        }
    }

    private static boolean fits(ComputeResources quota, ComputeResources needs, long concurrentTasks)
    {
        return concurrentTasks * needs.cpuMillis() <= quota.cpuMillis()
                && concurrentTasks * needs.memoryMib() <= quota.memoryMib()
                && concurrentTasks * needs.accelerators() <= quota.accelerators();
    }
}
