/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

/**
 * Stored record of an accepted job. It is written once. A tombstone replaces it when the job has
 * ended, so that the id stays in use and new owners have less to read.
 *
 * @param id the job's id, chosen by the caller
 * @param queue the queue as defined when the job was accepted
 * @param job the specification of the job; null in a tombstone
 * @param acceptedMillis time of acceptance on the accepting box's clock, in milliseconds since 1970
 * @param customer the name of the customer that submitted the job; null if no key was needed
 */
public record JobRecord(String id, QueueSpec queue, JobSpec job, long acceptedMillis, String customer)
{
    /** Creates the record of a job without a customer. */
    public JobRecord(String id, QueueSpec queue, JobSpec job, long acceptedMillis)
    {
        this(id, queue, job, acceptedMillis, null);
    }

    /** @return the record that replaces this one when the job has ended */
    public JobRecord toTombstone()
    {
        return new JobRecord(id, QueueSpec.named(queue.name()), null, acceptedMillis, customer);
    }

    /** @return whether the job has ended */
    public boolean hasEnded()
    {
        return job == null;
    }
}
