/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.List;

import org.gaugehollow.model.ComputeResources;

/**
 * One step of a job: a number of like tasks.
 *
 * @param count how many tasks
 * @param cpu processor share of each, in thousandths of a core
 * @param memoryMib memory of each, in MiB
 * @param accelerators accelerators of each
 * @param estimateMillis rough time of a task, in milliseconds
 * @param dependsOn numbers of earlier steps that must be done first
 * @param checkpointing whether tasks save their progress
 * @param gang whether the tasks work only all together
 * @param rackLocal whether the tasks are slower when spread over racks
 * @param requires label that a worker must have, or null
 * @param affinity rack on which the tasks are fastest, or null
 * @param antiAffinity how many tasks of the step one worker may hold, 0 for any number
 * @param speculative whether copies may run side by side
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image what the tasks run, or null
 * @param targetMillis what the tail of a serving task's answer times must stay below, 0 for none
 * @param fills whether the tasks take only processor time that others leave unused
 * @param mayMiss how many tasks of a long-running step may be away at once by our doing
 */
public record StepSpec(int count, int cpu, int memoryMib, int accelerators, long estimateMillis,
        List<Integer> dependsOn, boolean checkpointing, boolean gang, boolean rackLocal, String requires,
        String affinity, int antiAffinity, boolean speculative, boolean longRunning, String image,
        long targetMillis, boolean fills, int mayMiss)
{
    /** Fills in what may be left out. */
    public StepSpec
    {
        dependsOn = dependsOn == null ? List.of() : List.copyOf(dependsOn);
    }

    /**
     * @return what one task takes of a worker; a task that fills takes no processor share of its own
     */
    public ComputeResources needs()
    {
        return new ComputeResources(0, fills ? 0 : cpu, memoryMib, accelerators);
    }
}
