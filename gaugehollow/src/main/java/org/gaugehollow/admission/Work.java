/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import org.gaugehollow.job.JobSpec;
import org.gaugehollow.model.ComputeResources;

/** Measures work in core-milliseconds. */
public final class Work
{
    /** Number of cores that count as much as an accelerator. */
    private static final int CORES_PER_ACCELERATOR = 8;
    private static final long MILLIS_PER_CORE = 1_000;

    private Work()
    {
    }

    /**
     * @param needs compute resources of one task
     * @return the thousandths of a core that the task counts for
     */
    public static long cpuMillis(ComputeResources needs)
    {
        return needs.cpuMillis() + needs.accelerators() * CORES_PER_ACCELERATOR * MILLIS_PER_CORE;
    }

    /**
     * @param job a job
     * @return the work of one repetition of the job, in core-milliseconds
     */
    public static long coreMillis(JobSpec job)
    {
        return job.steps().stream()
                .mapToLong(step -> coreMillis(step.needs(), step.count(), step.estimateMillis())).sum();
    }

    /**
     * @param needs compute resources of one task
     * @param tasks number of tasks
     * @param estimateMillis estimated run time of a task, in milliseconds
     * @return the work of the tasks, in core-milliseconds
     */
    public static long coreMillis(ComputeResources needs, int tasks, long estimateMillis)
    {
        return cpuMillis(needs) * tasks * estimateMillis / MILLIS_PER_CORE;
    }
}
