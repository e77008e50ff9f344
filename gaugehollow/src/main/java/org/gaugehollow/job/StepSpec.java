/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.List;

import org.gaugehollow.model.ComputeResources;

/**
 * One step of a job, with a number of identical tasks.
 *
 * @param count number of tasks
 * @param cpu CPU of each task, in thousandths of a core
 * @param memoryMib memory of each task, in MiB
 * @param accelerators number of accelerators of each task
 * @param estimateMillis estimated run time of a task, in milliseconds
 * @param dependsOn indexes of the earlier steps that must complete first
 * @param checkpointing whether the tasks write checkpoints
 * @param gang whether all tasks must run at the same time
 * @param rackLocal whether the tasks run faster on a single rack
 * @param requires label that the worker must have, or null
 * @param affinity preferred rack, or null
 * @param antiAffinity maximum number of the step's tasks on one worker, 0 for no limit
 * @param speculative whether duplicate runs of a task are allowed
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image the image that the tasks run, or null
 * @param targetMillis target for the tail latency of a serving task, in milliseconds, 0 for none
 * @param fills whether the tasks are best-effort: they use only CPU time that other tasks leave
 *            idle
 * @param mayMiss maximum number of tasks of a long-running step that the scheduler may have stopped
 *            at a time
 */
public record StepSpec(int count, int cpu, int memoryMib, int accelerators, long estimateMillis,
        List<Integer> dependsOn, boolean checkpointing, boolean gang, boolean rackLocal, String requires,
        String affinity, int antiAffinity, boolean speculative, boolean longRunning, String image,
        long targetMillis, boolean fills, int mayMiss)
{
    /** Replaces absent values by their defaults. */
    public StepSpec
    {
        dependsOn = dependsOn == null ? List.of() : List.copyOf(dependsOn);
    }

    /** @return the resources that one task needs; a best-effort task reserves no CPU */
    public ComputeResources needs()
    {
        return new ComputeResources(0, fills ? 0 : cpu, memoryMib, accelerators);
    }
}
