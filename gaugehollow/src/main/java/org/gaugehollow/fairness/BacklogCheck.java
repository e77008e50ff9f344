/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.fairness;

import org.gaugehollow.model.ComputeResources;

/**
 * Determines whether waiting jobs compete for the cell: whether a job that can still be in time
 * becomes late if the whole cell works off what waits before it. Answers the question when the
 * order between customers matters: as long as all jobs will be in time, any other order than by
 * urgency and age only delays some of them.
 */
public final class BacklogCheck
{
    private final ComputeResources capacity;
    private double backlogMillis;

    /** @param capacity the capacity of all workers that accept starts */
    public BacklogCheck(ComputeResources capacity)
    {
        this.capacity = capacity;
    }

    /**
     * Adds waiting tasks behind those that were added before.
     *
     * @param needs the needs of each task
     * @param tasks the number of tasks
     * @param estimateMillis the estimated run time of each task, in milliseconds
     */
    public void add(ComputeResources needs, int tasks, long estimateMillis)
    {
        backlogMillis += DominantShare.of(needs, capacity) * tasks * estimateMillis;
    }

    /**
     * Returns whether a job becomes late by the tasks that were added up to now.
     *
     * @param slackMillis the delay that the job can take, in milliseconds; negative if it is late
     *            anyway
     * @return whether the whole cell needs longer than that for the tasks
     */
    public boolean delaysBeyond(long slackMillis)
    {
        return slackMillis >= 0 && backlogMillis > slackMillis;
    }
}
