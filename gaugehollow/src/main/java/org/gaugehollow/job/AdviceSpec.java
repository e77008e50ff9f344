/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

/**
 * How long the advice service takes for a queue, and how long its tickets are valid.
 *
 * @param decideMillis fixed time of one call, in milliseconds
 * @param workerMillis time for each worker named in a call, in milliseconds
 * @param validMillis how long a ticket is valid, in milliseconds
 */
public record AdviceSpec(double decideMillis, double workerMillis, long validMillis)
{
    /**
     * @param workers how many workers a call names
     * @return the expected time of that call, in milliseconds
     */
    public double expectedMillis(int workers)
    {
        return decideMillis + workers * workerMillis;
    }
}
