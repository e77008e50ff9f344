/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The jobs that a box accepted since the newest account of the backlog was taken, which that
 * account does not contain. Not thread-safe.
 */
public final class RecentAdmissions
{
    /** Maximum number of jobs kept, far more than a box accepts in the maximum age of an account. */
    private static final int MAX_JOBS = 2_000;

    /** An accepted job. */
    private record Admission(long nanos, JobRank rank, long coreMillis, long cpuMillis)
    {
    }

    private final Deque<Admission> admissions = new ArrayDeque<>();

    /**
     * Adds an accepted job.
     *
     * @param demand demand of the job
     * @param beyondWeight whether it exceeds its customer's weight
     * @param nowNanos the monotonic time, in nanoseconds
     */
    public void add(JobDemand demand, boolean beyondWeight, long nowNanos)
    {
        if (admissions.size() >= MAX_JOBS)
        {
            admissions.removeFirst();
        }
        long cpuMillis = demand.firstNeeds().stream().mapToLong(Work::cpuMillis).sum();
        admissions
                .addLast(new Admission(nowNanos, demand.rank(beyondWeight), demand.coreMillis(), cpuMillis));
    }

    /**
     * Removes the jobs that were accepted before the given time.
     *
     * @param takenNanos monotonic time at which the newest account was taken, in nanoseconds
     */
    public void removeBefore(long takenNanos)
    {
        while (!admissions.isEmpty() && admissions.getFirst().nanos() - takenNanos < 0)
        {
            admissions.removeFirst();
        }
    }

    /** Returns the work planned no later than a new job of the given rank, in core-milliseconds. */
    long coreMillisAhead(JobRank rank)
    {
        return admissions.stream().filter(admission -> precedes(admission, rank))
                .mapToLong(Admission::coreMillis).sum();
    }

    /** Returns the number of jobs planned no later than a new job of the given rank. */
    int jobsAhead(JobRank rank)
    {
        return (int) admissions.stream().filter(admission -> precedes(admission, rank)).count();
    }

    /** Returns the CPU that these jobs claim at once, in thousandths of a core. */
    long claimedCpuMillis(String service)
    {
        return admissions.stream().filter(admission -> admission.rank().service().equals(service))
                .mapToLong(Admission::cpuMillis).sum();
    }

    private static boolean precedes(Admission admission, JobRank rank)
    {
        JobRank other = admission.rank();
        return other.service().equals(rank.service())
                && rank.followsOrEquals(other.priority(), other.beyondWeight());
    }
}
