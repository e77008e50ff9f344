/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.nio.charset.StandardCharsets;

/**
 * Stored cancellation of a job: the queue's name and, on a second line, the customer's name if
 * there is one. It may be stored before the job's record, so it names both: a job with the same id
 * in another queue or of another customer must not be cancelled.
 *
 * @param queue the name of the queue through which the job was cancelled, or {@link #ANY_QUEUE}
 * @param customer the name of the customer that cancelled the job; null if callers need no key
 */
public record Cancellation(String queue, String customer)
{
    /** Stored value of older cancellations, which were written only after the job's record. */
    private static final String ANY_QUEUE = "1";
    private static final char SEPARATOR = '\n';

    /** Creates a cancellation by a caller without a key. */
    public Cancellation(String queue)
    {
        this(queue, null);
    }

    /**
     * @param scope the caller's scope
     * @return a cancellation by that caller
     */
    public static Cancellation of(JobScope scope)
    {
        return new Cancellation(scope.queue().name(), scope.customer());
    }

    /**
     * @param value the stored value
     * @return the cancellation
     */
    public static Cancellation read(byte[] value)
    {
        String text = new String(value, StandardCharsets.UTF_8);
        int separator = text.indexOf(SEPARATOR);
        return separator < 0
                ? new Cancellation(text)
                : new Cancellation(text.substring(0, separator), text.substring(separator + 1));
    }

    /** @return the value to store */
    public byte[] write()
    {
        String text = customer == null ? queue : queue + SEPARATOR + customer;
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * @param job an accepted job
     * @return whether this cancels the job
     */
    public boolean appliesTo(JobRecord job)
    {
        return queue.equals(ANY_QUEUE)
                || new JobScope(QueueSpec.named(queue), customer).covers(job.queue().name(), job.customer());
    }
}
