/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.Optional;
import java.util.function.IntSupplier;

import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;

/** Decides whether a box accepts submitted jobs. Methods must not block. */
interface Admission
{
    /** Accepts every job. */
    Admission OPEN = new Admission()
    {
        @Override
        public Optional<Refusal> decide(JobScope scope, JobSpec job, long deadlineNanos)
        {
            return Optional.empty();
        }

        @Override
        public void onAccepted(JobScope scope, JobSpec job)
        {
            // nothing is counted
        }
    };

    /**
     * A refusal that takes effect unless the job turns out to be accepted already.
     *
     * @param inputs the inputs of the decision, for the log
     * @param retryDelay puts the refusal into effect and returns the time after which the caller should
     *            return, in seconds
     */
    record Refusal(String inputs, IntSupplier retryDelay)
    {
    }

    /**
     * Decides on a submission.
     *
     * @param scope queue and customer of the job
     * @param job specification of the job
     * @param deadlineNanos the caller's deadline on the steady clock
     * @return the refusal, if the job should be refused
     */
    Optional<Refusal> decide(JobScope scope, JobSpec job, long deadlineNanos);

    /**
     * Counts a job that this box accepted.
     *
     * @param scope queue and customer of the job
     * @param job specification of the job
     */
    void onAccepted(JobScope scope, JobSpec job);
}
