/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

/**
 * An accepted job as it lies in the store. It is written once; when the job is over, a short record
 * takes its place, so that the id stays taken and new owners have little to read.
 *
 * @param id the job's id, chosen by the caller
 * @param queue the queue as it was defined when the job was accepted
 * @param job what is to be run; null once the job is over
 * @param acceptedMillis when it was accepted, on the accepting box's clock in milliseconds since
 *            1970
 * @param customer the name of the customer whose key brought it; null where no key was needed
 */
public record JobRecord(String id, QueueSpec queue, JobSpec job, long acceptedMillis, String customer)
{
    /** A job of no customer; see the components. */
    public JobRecord(String id, QueueSpec queue, JobSpec job, long acceptedMillis)
    {
        this(id, queue, job, acceptedMillis, null);
    }

    /** @return the record of the same job once it is over */
    public JobRecord toTombstone()
    {
        return new JobRecord(id, QueueSpec.named(queue.name()), null, acceptedMillis, customer);
    }

    /** @return whether the job is over */
    public boolean hasEnded()
    {
        return job == null;
    }
}
