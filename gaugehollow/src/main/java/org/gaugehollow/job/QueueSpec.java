/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Optional;

/**
 * Configuration of a queue of jobs.
 *
 * @param name the queue's name
 * @param service the service whose workers run the queue's tasks
 * @param priority the priority; 0 is served first
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param targetMillis target for a job's latency in addition to its work, in milliseconds
 * @param stretch factor of a job's critical path in its latency objective
 * @param advice set if starts need a ticket of the advice service, or null
 */
public record QueueSpec(String name, String service, int priority, int maxAttempts, long targetMillis,
        double stretch, AdviceSpec advice)
{
    /**
     * @param name a queue's name
     * @return a queue with default values except for its name
     */
    public static QueueSpec named(String name)
    {
        return new QueueSpec(name, null, 0, 0, 0, 0, null);
    }

    /** @return the advice settings, if starts need a ticket */
    public Optional<AdviceSpec> adviceIfNeeded()
    {
        return Optional.ofNullable(advice);
    }
}
