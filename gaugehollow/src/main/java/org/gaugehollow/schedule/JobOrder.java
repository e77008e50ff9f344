/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.gaugehollow.urgency.JobUrgency;
import org.gaugehollow.urgency.Outlook;
import org.gaugehollow.urgency.UrgencyOrder;

/** Defines the order in which jobs are planned. */
final class JobOrder
{
    private static final Comparator<RankedJob> BY_URGENCY = Comparator.comparing(RankedJob::isTooLate)
            .thenComparing(ranked -> ranked.job().isBeyondWeight())
            .thenComparing(RankedJob::urgency, UrgencyOrder.WITHIN_CUSTOMER);

    /** A job with what decides its place at the current time. */
    private record RankedJob(Job job, JobUrgency urgency)
    {
        boolean isTooLate()
        {
            return urgency.outlook() == Outlook.TOO_LATE;
        }
    }

    private JobOrder()
    {
    }

    /**
     * Returns the jobs with tasks that are ready to start, in planning order: jobs that are not yet too
     * late first, then jobs within their customer's weight, then in the order of {@link UrgencyOrder}.
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
                    ranked.add(new RankedJob(job, job.updateUrgency(wallMillis)));
                }
            }
        }
        ranked.sort(BY_URGENCY);
        return ranked.stream().map(RankedJob::job).toList();
    }
}
