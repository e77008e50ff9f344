/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

/**
 * Response times of the advice service for a queue and the validity of its tickets.
 *
 * @param decideMillis fixed part of a call's duration, in milliseconds
 * @param workerMillis part of a call's duration for each worker in it, in milliseconds
 * @param validMillis validity of a ticket, in milliseconds
 */
public record AdviceSpec(double decideMillis, double workerMillis, long validMillis)
{
    /**
     * Number of workers in a typical call, used to estimate the duration of a call. The users count one
     * call for as many workers into the critical path for each step.
     */
    public static final int TYPICAL_WORKERS = 30;

    /**
     * @param workers the number of workers in a call
     * @return the expected duration of the call, in milliseconds
     */
    public double expectedMillis(int workers)
    {
        return decideMillis + workers * workerMillis;
    }
}
