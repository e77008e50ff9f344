/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * The urgency of a job, which comes before the order between customers.
 *
 * @param tooLate whether hurrying the job brings no benefit
 * @param beyondWeight whether the job exceeds its customer's weight
 * @param priority the priority of its queue; 0 is served first
 */
record UrgencyClass(boolean tooLate, boolean beyondWeight, int priority)
{
    /**
     * Returns the class of a job.
     *
     * @param job the job
     * @param wallMillis the wall-clock time, in milliseconds since 1970
     */
    static UrgencyClass of(Job job, long wallMillis)
    {
        return new UrgencyClass(job.isTooLate(wallMillis), job.isBeyondWeight(), job.queue().priority());
    }
}
