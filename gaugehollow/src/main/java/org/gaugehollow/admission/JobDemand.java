/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.List;

import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.CriticalPath;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.urgency.Objective;

/**
 * What a submitted job needs, by its estimates.
 *
 * @param queue name of its queue
 * @param service the service whose workers run it
 * @param priority priority of its queue
 * @param hasObjective false if the job has due times, runs until it is cancelled, or its queue sets
 *            no objective
 * @param chainMillis estimated duration of its critical path, in milliseconds
 * @param objectiveMillis its objective if the estimates are too low, in milliseconds
 * @param coreMillis its work in core-milliseconds
 * @param firstNeeds needs of a task of each step that can start at once
 */
public record JobDemand(String queue, String service, int priority, boolean hasObjective, long chainMillis,
        long objectiveMillis, long coreMillis, List<ComputeResources> firstNeeds)
{
    /**
     * @param queue queue of the job
     * @param job specification of the job
     * @return its demand
     */
    public static JobDemand of(QueueSpec queue, JobSpec job)
    {
        long chain = CriticalPath.millis(job.steps(), queue, step -> false);
        List<ComputeResources> firstNeeds = job.steps().stream().filter(step -> step.dependsOn().isEmpty())
                .map(StepSpec::needs).toList();
        long objective = new Objective(queue.targetMillis(), queue.stretch(), chain).tolerantMillis();
        return new JobDemand(queue.name(), queue.service(), queue.priority(),
                objective > 0 && !job.hasOpenEnd(), chain, objective, Work.coreMillis(job), firstNeeds);
    }

    /** @return time from its submission after which its result is of no use, in milliseconds */
    public long usefulMillis()
    {
        return Objective.MAX_LATE_FACTOR * objectiveMillis;
    }

    JobRank rank(boolean beyondWeight)
    {
        return new JobRank(service, priority, beyondWeight);
    }
}
