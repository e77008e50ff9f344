/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** In which order jobs have their turn. */
final class JobOrder
{
    private static final Comparator<Turn> FIRST_TURN_FIRST = Comparator.comparing(Turn::tooLate)
            .thenComparing(turn -> turn.job().isBeyondWeight())
            .thenComparingInt(turn -> turn.job().queue().priority()).thenComparing(Turn::overdue)
            .thenComparingLong(turn -> turn.job().acceptedRevision());

    /** What a job's turn depends on beside its queue and its age. */
    private record Turn(Job job, boolean tooLate, boolean overdue)
    {
    }

    private JobOrder()
    {
    }

    /**
     * The jobs that have a task whose turn has come: those that are not too late first, among them what
     * customers sent within their weights, then the most urgent queue, and within it those that can
     * still meet their objective, the earliest first.
     *
     * @param jobs jobs, over or not
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    static List<Job> waiting(Collection<Job> jobs, long wallMillis)
    {
        List<Turn> turns = new ArrayList<>();
        for (Job job : jobs)
        {
            if (!job.state().isFinal())
            {
                job.beginDueRounds(wallMillis);
                if (!job.waitingSteps().isEmpty())
                {
                    turns.add(new Turn(job, job.isTooLate(wallMillis), job.isOverdue(wallMillis)));
                }
            }
        }
        turns.sort(FIRST_TURN_FIRST);
        return turns.stream().map(Turn::job).toList();
    }
}
