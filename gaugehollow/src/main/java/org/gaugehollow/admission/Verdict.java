/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

/**
 * The decision on a submission with its inputs.
 *
 * @param refused whether to refuse the job
 * @param beyondWeight whether the job exceeds its customer's weight
 * @param waitMillis expected time until the job's first tasks can start, in milliseconds; 0 if
 *            unknown
 * @param limitMillis the longest wait with which the result is still of use, in milliseconds
 * @param retryMillis expected time until a job of this kind would meet its objective, in
 *            milliseconds
 * @param coreMillisAhead waiting work that is planned before the job, in core-milliseconds
 * @param jobsAhead jobs planned before it of which no task has started
 * @param drainPerSecond work that is completed, in core-milliseconds a second
 * @param ageMillis age of the account of the backlog, in milliseconds
 */
public record Verdict(boolean refused, boolean beyondWeight, long waitMillis, long limitMillis,
        long retryMillis, long coreMillisAhead, int jobsAhead, long drainPerSecond, long ageMillis)
{
    /** @return the inputs, for the log */
    public String describe()
    {
        return "expected wait " + waitMillis + " ms, limit " + limitMillis + " ms, "
                + (beyondWeight ? "beyond the customer's weight, " : "") + "ahead " + coreMillisAhead
                + " core-ms and " + jobsAhead + " unstarted jobs, completing " + drainPerSecond
                + " core-ms/s, account " + ageMillis + " ms old";
    }
}
