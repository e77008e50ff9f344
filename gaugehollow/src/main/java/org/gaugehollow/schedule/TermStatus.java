/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;

/**
 * What an owner knows of the cell, for metrics and for other boxes.
 *
 * @param waits the tasks that wait, by reason
 * @param speeds the estimated speeds of the workers
 * @param customers the shares and waiting tasks of the customers
 * @param backlog the newest account of the waiting work
 * @param queuedJobs the number of jobs that have not started, by queue
 */
public record TermStatus(WaitSnapshot waits, SpeedSnapshot speeds, CustomerSnapshot customers,
        TimedBacklog backlog, Map<String, Integer> queuedJobs)
{
    /** The status of a box that does not own the cell. */
    public static final TermStatus NONE = new TermStatus(WaitSnapshot.EMPTY, SpeedSnapshot.EMPTY,
            CustomerSnapshot.EMPTY, TimedBacklog.NONE, Map.of());
}
