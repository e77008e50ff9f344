/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

import java.util.Comparator;

/**
 * Order of the jobs of one customer and class. Answers a load above the capacity of the cell, under
 * which not all jobs can be in time. Without such a load no job misses its objective and the order
 * is that of priority and age.
 */
public final class UrgencyOrder
{
    /**
     * Jobs without any benefit come last; otherwise the priority decides. Among jobs of one priority,
     * those that are in time by their estimates come before those that may miss, and these before late
     * ones; otherwise each job would be served when it is just too late. Then come jobs that have
     * begun, because they end next, and because wide jobs, which begin in parts, would fall behind
     * small ones otherwise. Age decides last.
     */
    public static final Comparator<JobUrgency> WITHIN_CUSTOMER = Comparator
            .comparing((JobUrgency job) -> job.outlook() == Outlook.TOO_LATE)
            .thenComparingInt(JobUrgency::priority).thenComparing(JobUrgency::outlook)
            .thenComparing(job -> !job.begun()).thenComparingLong(JobUrgency::sequence);

    private UrgencyOrder()
    {
    }
}
