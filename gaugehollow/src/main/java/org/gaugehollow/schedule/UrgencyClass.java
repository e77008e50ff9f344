/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.urgency.Outlook;

/**
 * The urgency of a job, which comes before the order between customers.
 *
 * @param tooLate whether the job can end only when that brings no benefit
 * @param beyondWeight whether the job exceeds its customer's weight
 * @param priority the priority of its queue; 0 is served first
 */
record UrgencyClass(boolean tooLate, boolean beyondWeight, int priority)
{
    /** Returns the class of a job, with its outlook as of the latest planning round. */
    static UrgencyClass of(Job job)
    {
        return new UrgencyClass(job.latestOutlook() == Outlook.TOO_LATE, job.isBeyondWeight(),
                job.queue().priority());
    }
}
