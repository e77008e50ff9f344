/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

/**
 * The jobs that a caller may see and change: those of one queue that belong to the caller's
 * customer or to none.
 *
 * @param queue the queue
 * @param customer the name of the caller's customer; null if callers need no key
 */
public record JobScope(QueueSpec queue, String customer)
{
    /**
     * @param queue a queue
     * @return the scope of a caller without a key
     */
    public static JobScope of(QueueSpec queue)
    {
        return new JobScope(queue, null);
    }

    /**
     * @param jobQueue the name of a job's queue
     * @param jobCustomer the name of the job's customer; null if it was accepted without a key
     * @return whether the caller may see and change the job
     */
    public boolean covers(String jobQueue, String jobCustomer)
    {
        return queue.name().equals(jobQueue) && (jobCustomer == null || jobCustomer.equals(customer));
    }
}
