/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

/**
 * What determines the rank of a new job among those that wait.
 *
 * @param service the service whose workers run it
 * @param priority priority of its queue; 0 is the most urgent
 * @param beyondWeight whether the job exceeds the weight of its customer
 */
public record JobRank(String service, int priority, boolean beyondWeight)
{
    /** Returns whether jobs of the given priority and weight are planned no later than this rank. */
    boolean followsOrEquals(int otherPriority, boolean otherBeyondWeight)
    {
        return beyondWeight == otherBeyondWeight ? otherPriority <= priority : beyondWeight;
    }
}
