/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Sums up the waiting jobs for a {@link BacklogAccount}. Not thread-safe. */
public final class BacklogSummary
{
    /** Time over which the rate of arrivals is measured. */
    private static final long WINDOW_MILLIS = CompletionRate.WINDOW_MILLIS;

    /** The rank of a waiting job. */
    private record Key(JobRank rank, boolean late)
    {
    }

    /** The sums for one rank. */
    private static final class Sums
    {
        private long waiting;
        private int unstartedJobs;
        private long arrived;
    }

    private final Map<Key, Sums> sums = new HashMap<>();

    /**
     * Adds a job that has not ended.
     *
     * @param rank its rank
     * @param late whether it will miss its objective
     * @param unstarted whether none of its tasks has started
     * @param waitingCoreMillis work of its tasks that have not started, in core-milliseconds
     */
    public void add(JobRank rank, boolean late, boolean unstarted, long waitingCoreMillis)
    {
        if (waitingCoreMillis > 0)
        {
            Sums ofRank = sumsOf(rank, late);
            ofRank.waiting += waitingCoreMillis;
            ofRank.unstartedJobs += unstarted ? 1 : 0;
        }
    }

    /**
     * Adds a job to the recent arrivals, if it was accepted lately.
     *
     * @param rank its rank
     * @param late whether it will miss its objective
     * @param coreMillis its whole work, in core-milliseconds
     * @param ageMillis time since it was accepted, in milliseconds
     */
    public void addArrival(JobRank rank, boolean late, long coreMillis, long ageMillis)
    {
        if (ageMillis >= 0 && ageMillis < WINDOW_MILLIS)
        {
            sumsOf(rank, late).arrived += coreMillis;
        }
    }

    private Sums sumsOf(JobRank rank, boolean late)
    {
        return sums.computeIfAbsent(new Key(rank, late), key -> new Sums());
    }

    /** @return whether any work waits */
    public boolean isEmpty()
    {
        return sums.values().stream().allMatch(ofRank -> ofRank.waiting == 0);
    }

    /** @return the waiting work by rank */
    public List<WaitingClass> classes()
    {
        List<WaitingClass> classes = new ArrayList<>();
        sums.forEach((key,
                ofRank) -> classes.add(new WaitingClass(key.rank().service(), key.rank().priority(),
                        key.rank().beyondWeight(), key.late(), ofRank.waiting, ofRank.unstartedJobs,
                        ofRank.arrived * TimeUnit.SECONDS.toMillis(1) / WINDOW_MILLIS)));
        return classes;
    }
}
