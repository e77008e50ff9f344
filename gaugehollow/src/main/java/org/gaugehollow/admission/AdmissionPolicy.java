/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.Optional;
import java.util.function.Predicate;

import org.gaugehollow.model.ComputeResources;

/**
 * Decides whether to accept a job. Answers a load that exceeds the capacity for longer than jobs
 * can wait: what can no longer be served while its result is of use is refused at once, so that the
 * caller learns the truth and the capacity serves jobs that can still be in time. Refuses nothing
 * while there is free capacity, or without a fresh account of the backlog.
 */
public final class AdmissionPolicy
{
    /**
     * Age up to which an account is used, in milliseconds. A few times the interval at which it is
     * renewed, and short compared with the waits that lead to a refusal.
     */
    public static final long MAX_AGE_MILLIS = 1_500;
    /**
     * Wait that is never a reason to refuse, in milliseconds: planning and calls for advice take
     * fractions of it.
     */
    static final long TRANSIENT_WAIT_MILLIS = 1_000;
    /** Share of the limit above which a box that has begun to refuse continues to do so. */
    private static final double RESUME_SHARE = 0.8;
    /**
     * Share of the drain rate that jobs past their objective get at least, even if newer jobs seem to
     * take all of it.
     */
    private static final double MIN_LATE_SHARE = 0.1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private AdmissionPolicy()
    {
    }

    /**
     * Decides on a submission.
     *
     * @param demand demand of the job
     * @param customer its customer, or null
     * @param account the newest account
     * @param ageMillis age of the account, in milliseconds
     * @param recent jobs accepted since the account was taken
     * @param isRefusing whether this box currently refuses jobs of the queue
     * @return the decision
     */
    public static Verdict decide(JobDemand demand, String customer, BacklogAccount account, long ageMillis,
            RecentAdmissions recent, boolean isRefusing)
    {
        boolean beyondWeight = account.isAtWeight(customer);
        Optional<ServiceCapacity> capacity = account.capacity(demand.service())
                .filter(known -> known.drainPerSecond() > 0);
        if (!demand.hasObjective() || ageMillis > MAX_AGE_MILLIS || capacity.isEmpty()
                || canStartNow(demand, capacity.get(), recent))
        {
            return new Verdict(false, beyondWeight, 0, 0, 0, 0, 0, 0, ageMillis);
        }
        JobRank rank = demand.rank(beyondWeight);
        Backlog backlog = new Backlog(account, capacity.get().drainPerSecond(), rank, recent);
        long inTimeWait = backlog.inTimeWaitMillis();
        long latestInTime = demand.objectiveMillis() - demand.chainMillis();
        boolean isInTime = inTimeWait <= latestInTime;
        long wait = isInTime ? inTimeWait : backlog.lateWaitMillis();
        long limit = Math.max(TRANSIENT_WAIT_MILLIS, demand.usefulMillis() - demand.chainMillis());
        boolean isRefused = !isInTime && wait > (isRefusing ? RESUME_SHARE * limit : limit);
        return new Verdict(isRefused, beyondWeight, wait, limit, Math.max(0, inTimeWait - latestInTime),
                isInTime ? backlog.inTimeWork() : backlog.wholeWork(), backlog.jobs(),
                capacity.get().drainPerSecond(), ageMillis);
    }

    /** Returns whether a task of the job can start on free capacity that no other task claims. */
    private static boolean canStartNow(JobDemand demand, ServiceCapacity capacity, RecentAdmissions recent)
    {
        long otherClaims = recent.claimedCpuMillis(demand.service());
        for (ComputeResources needs : demand.firstNeeds())
        {
            if (capacity.hasRoomFor(needs, otherClaims))
            {
                return true;
            }
        }
        return false;
    }

    /** The waiting work before a new job of a rank. */
    private record Backlog(BacklogAccount account, long drainPerSecond, JobRank rank, RecentAdmissions recent)
    {
        /** Returns the work planned before a job that can still meet its objective. */
        long inTimeWork()
        {
            return recent.coreMillisAhead(rank) + sum(waiting -> waiting.precedes(rank));
        }

        /** Returns the work planned before a job that can no longer meet its objective. */
        long wholeWork()
        {
            return recent.coreMillisAhead(rank) + sum(waiting -> waiting.precedesLate(rank));
        }

        private long sum(Predicate<WaitingClass> isAhead)
        {
            return account.waiting().stream().filter(isAhead).mapToLong(WaitingClass::coreMillis).sum();
        }

        long inTimeWaitMillis()
        {
            return (long) (inTimeWork() * MILLIS_PER_SECOND / drainPerSecond);
        }

        /**
         * Returns the expected wait of a job that falls behind newer ones, because it can't meet its
         * objective: it gets only the capacity that these leave.
         */
        long lateWaitMillis()
        {
            long arrivals = account.waiting().stream().filter(waiting -> waiting.precedesLate(rank))
                    .mapToLong(WaitingClass::arrivalsPerSecond).sum();
            double rate = Math.max(drainPerSecond - arrivals, MIN_LATE_SHARE * drainPerSecond);
            return (long) (wholeWork() * MILLIS_PER_SECOND / rate);
        }

        int jobs()
        {
            return recent.jobsAhead(rank) + account.waiting().stream()
                    .filter(waiting -> waiting.precedesLate(rank)).mapToInt(WaitingClass::jobs).sum();
        }
    }
}
