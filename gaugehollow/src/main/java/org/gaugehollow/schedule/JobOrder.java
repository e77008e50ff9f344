/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Defines the order in which jobs are planned. */
final class JobOrder
{
    private static final Comparator<RankedJob> BY_URGENCY = Comparator.comparing(RankedJob::tooLate)
            .thenComparing(ranked -> ranked.job().isBeyondWeight())
            .thenComparingInt(ranked -> ranked.job().queue().priority())
            .thenComparing(RankedJob::willMissObjective)
            .thenComparingLong(ranked -> ranked.job().acceptedRevision());

    /** A job with the sort keys that depend on the current time. */
    private record RankedJob(Job job, boolean tooLate, boolean willMissObjective)
    {
    }

    private JobOrder()
    {
    }

    /**
     * Returns the jobs with tasks that are ready to start, in planning order: jobs that are not yet too
     * late first, then jobs within their customer's weight, then by queue priority, then jobs that can
     * still meet their objective, then by age.
     *
     * @param jobs jobs, ended or not
     * @param wallMillis the wall-clock time, in milliseconds since 1970
     */
    static List<Job> waitingByUrgency(Collection<Job> jobs, long wallMillis)
    {
        List<RankedJob> ranked = new ArrayList<>();
        for (Job job : jobs)
        {
            if (!job.state().isFinal())
            {
                job.beginDueRounds(wallMillis);
                if (!job.waitingSteps().isEmpty())
                {
                    ranked.add(
                            new RankedJob(job, job.isTooLate(wallMillis), job.willMissObjective(wallMillis)));
                }
            }
        }
        ranked.sort(BY_URGENCY);
        return ranked.stream().map(RankedJob::job).toList();
    }
}
