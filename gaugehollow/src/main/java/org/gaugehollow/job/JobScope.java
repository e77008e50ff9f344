/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Optional;

/**
 * The jobs that a caller may see and change: those of one queue that belong to the caller's
 * customer or to none.
 *
 * @param queue the queue
 * @param customer the name of the caller's customer; null if callers need no key
 * @param address where the caller reaches the queue; empty if that is unknown
 */
public record JobScope(QueueSpec queue, String customer, Optional<QueueAddress> address)
{
    /** Creates the scope of a caller whose address is unknown. */
    public JobScope(QueueSpec queue, String customer)
    {
        this(queue, customer, Optional.empty());
    }

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
        return queue.name().equals(jobQueue) && admits(jobCustomer);
    }

    /**
     * @param jobCustomer the name of a job's customer; null if it was accepted without a key
     * @return whether the caller may see and change jobs of that customer
     */
    public boolean admits(String jobCustomer)
    {
        return jobCustomer == null || jobCustomer.equals(customer);
    }
}
