/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

/**
 * The waiting work of the jobs that are planned at the same rank.
 *
 * @param service the service whose workers run it
 * @param priority priority of the queues; 0 is the most urgent
 * @param beyondWeight whether the jobs exceed the weight of their customers; these are planned
 *            behind all others
 * @param late whether the jobs will miss their objective; these are planned behind the others of
 *            the same priority
 * @param coreMillis work of the tasks that have not started, in core-milliseconds
 * @param jobs number of jobs of which no task has started
 * @param arrivalsPerSecond work of recently accepted jobs, started or not, in core-milliseconds a
 *            second
 */
public record WaitingClass(String service, int priority, boolean beyondWeight, boolean late, long coreMillis,
        int jobs, long arrivalsPerSecond)
{
    /**
     * @param rank service, priority and weight of a job
     * @return whether these jobs are planned before a new job of that rank, while it can still meet its
     *         objective
     */
    boolean precedes(JobRank rank)
    {
        boolean isSameRank = beyondWeight == rank.beyondWeight() && priority == rank.priority();
        return precedesLate(rank) && !(late && isSameRank);
    }

    /**
     * @param rank service, priority and weight of a job
     * @return whether these jobs are planned before a new job of that rank, once it can no longer meet
     *         its objective
     */
    boolean precedesLate(JobRank rank)
    {
        return service.equals(rank.service()) && rank.followsOrEquals(priority, beyondWeight);
    }
}
