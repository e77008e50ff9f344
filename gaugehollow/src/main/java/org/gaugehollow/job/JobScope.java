/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

/**
 * Where a job belongs, and what a caller may see and change: the jobs of one queue that are its
 * customer's or nobody's.
 *
 * @param queue the queue
 * @param customer the name of the caller's customer; null where callers need no key
 */
public record JobScope(QueueSpec queue, String customer)
{
    /**
     * @param queue a queue
     * @return the scope of a caller that needs no key
     */
    public static JobScope of(QueueSpec queue)
    {
        return new JobScope(queue, null);
    }

    /**
     * @param jobQueue the name of a job's queue
     * @param jobCustomer the name of its customer; null for one that was accepted without a key
     * @return whether a caller of this scope may see and change the job
     */
    public boolean covers(String jobQueue, String jobCustomer)
    {
        return queue.name().equals(jobQueue) && (jobCustomer == null || jobCustomer.equals(customer));
    }
}
