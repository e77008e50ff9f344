/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

/**
 * An accepted job as it lies in the store; written once and never changed.
 *
 * @param id the job's id, chosen by the caller
 * @param queue the queue as it was defined when the job was accepted
 * @param job what is to be run
 * @param acceptedMillis when it was accepted, on the accepting box's clock in milliseconds since
 *            1970
 */
public record JobRecord(String id, QueueSpec queue, JobSpec job, long acceptedMillis)
{
}
