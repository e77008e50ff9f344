/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.nio.charset.StandardCharsets;

/**
 * A job's cancellation, as it lies in the store: the queue's name and, in a line after it, the
 * customer's if there is one. It may lie there before the job's record does, so it names both: the
 * same id in another queue, or of another customer, is another caller's job.
 *
 * @param queue the name of the queue whose caller cancelled, or {@link #ANY_QUEUE}
 * @param customer the name of the customer that cancelled; null where callers need no key
 */
public record Cancellation(String queue, String customer)
{
    /** The value of cancellations that were written only where the job's record was there. */
    private static final String ANY_QUEUE = "1";
    private static final char SEPARATOR = '\n';

    /** A cancellation by a caller that needs no key; see the components. */
    public Cancellation(String queue)
    {
        this(queue, null);
    }

    /**
     * @param scope the scope of the caller who cancels
     * @return its cancellation
     */
    public static Cancellation of(JobScope scope)
    {
        return new Cancellation(scope.queue().name(), scope.customer());
    }

    /**
     * @param value a value from the store
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

    /** @return the value that lies in the store */
    public byte[] write()
    {
        String text = customer == null ? queue : queue + SEPARATOR + customer;
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * @param job an accepted job
     * @return whether it cancels that job
     */
    public boolean appliesTo(JobRecord job)
    {
        return queue.equals(ANY_QUEUE)
                || new JobScope(QueueSpec.named(queue), customer).covers(job.queue().name(), job.customer());
    }
}
