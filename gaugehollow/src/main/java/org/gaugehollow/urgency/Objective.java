/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

/**
 * The latency objective of a job. Answers which jobs of a backlog can still be in time. Estimates
 * may be off by half, so a job that misses its objective by the estimates alone isn't late for
 * certain.
 *
 * @param targetMillis allowance in addition to the work, in milliseconds
 * @param stretch factor of the critical path
 * @param criticalPathMillis estimated duration of the job's longest chain of steps, in milliseconds
 */
public record Objective(long targetMillis, double stretch, long criticalPathMillis)
{
    /** Multiple of the objective after which the end of a job brings no benefit. */
    public static final int MAX_LATE_FACTOR = 3;
    /** Factor by which the actual duration may exceed the estimates. */
    public static final double ESTIMATE_TOLERANCE = 1.5;

    /**
     * Returns the outlook of a job. Each bound grows with a factor, so the outlook only gets worse
     * while nothing of the job is done.
     *
     * @param elapsedMillis time since the job was accepted, in milliseconds
     * @param remainingMillis estimated duration of the longest chain of steps that aren't done
     * @return the outlook if the remaining steps began now
     */
    public Outlook outlook(long elapsedMillis, long remainingMillis)
    {
        long endMillis = elapsedMillis + remainingMillis;
        if (endMillis <= millis(1))
        {
            return Outlook.IN_TIME;
        }
        if (endMillis <= tolerantMillis())
        {
            return Outlook.UNCERTAIN;
        }
        return endMillis <= MAX_LATE_FACTOR * tolerantMillis() ? Outlook.LATE : Outlook.TOO_LATE;
    }

    /**
     * Returns the delay that a job can take and still meet its objective by the estimates.
     *
     * @param elapsedMillis time since the job was accepted, in milliseconds
     * @param remainingMillis estimated duration of the longest chain of steps that aren't done
     * @return the delay in milliseconds; negative if the objective can't be met
     */
    public long slackMillis(long elapsedMillis, long remainingMillis)
    {
        return millis(1) - elapsedMillis - remainingMillis;
    }

    /** @return the objective by the estimates, in milliseconds from the acceptance of the job */
    public long millis()
    {
        return millis(1);
    }

    /** @return the objective if the estimates are too low by the tolerated factor, in milliseconds */
    public long tolerantMillis()
    {
        return millis(ESTIMATE_TOLERANCE);
    }

    /** @return time after which the end of the job brings no benefit, in milliseconds */
    public long usefulMillis()
    {
        return MAX_LATE_FACTOR * millis();
    }

    /** Returns the objective if all steps take the given multiple of their estimates. */
    private long millis(double factor)
    {
        return targetMillis + (long) (stretch * (long) (factor * criticalPathMillis));
    }
}
