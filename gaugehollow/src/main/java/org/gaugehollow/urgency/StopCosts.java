/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

/**
 * What it costs to stop a run so that its task continues later or elsewhere. Answers a load above
 * the capacity of the cell, under which runs are stopped for more urgent ones while capacity is
 * short.
 *
 * @param stopMillis maximum time from a stop until the capacity is free, in milliseconds
 * @param restoreMillis time to resume from a checkpoint, in milliseconds
 * @param checkpointMillis work between two checkpoints of a run, in milliseconds
 */
public record StopCosts(long stopMillis, long restoreMillis, long checkpointMillis)
{
    /** Costs assumed for a deployment that doesn't state them. */
    public static final StopCosts DEFAULT = new StopCosts(400, 600, 1_000);

    /** Time for the report of a run's end and a refresh of the advice, in milliseconds. */
    private static final long REPORT_MILLIS = 1_100;
    /** Time for which a stopped task waits for its next start, in milliseconds. */
    private static final long NEXT_START_MILLIS = 1_000;
    /** Time for a planning round and a start, in milliseconds. */
    private static final long PLAN_MILLIS = 100;

    /** @return lifetime of a reservation of the capacity that a stop frees, in milliseconds */
    public long reservationMillis()
    {
        return stopMillis + REPORT_MILLIS;
    }

    /** @return delay of a job one of whose runs is stopped, in milliseconds */
    public long jobDelayMillis()
    {
        return stopMillis + restoreMillis + NEXT_START_MILLIS;
    }

    /** @return cost of moving a run, besides the work that is repeated, in milliseconds */
    public long moveMillis()
    {
        return stopMillis + PLAN_MILLIS;
    }

    /**
     * @param resumes whether the task to start resumes from a checkpoint
     * @return time until a task works on capacity that is freed by a stop, in milliseconds
     */
    public long startDelayMillis(boolean resumes)
    {
        return stopMillis + (resumes ? restoreMillis : 0);
    }

    /**
     * Returns the work lost by a stop. A run that checkpoints is saved by the stop and only has to be
     * restored, which takes no longer than repeating a short run.
     *
     * @param ranMillis run time so far, in milliseconds
     * @param checkpointing whether the run writes checkpoints
     * @return the lost run time, in milliseconds
     */
    public long lostByStopMillis(long ranMillis, boolean checkpointing)
    {
        return checkpointing ? Math.min(ranMillis, restoreMillis) : ranMillis;
    }

    /**
     * Returns the work lost by a run that ends without a stop, such as a run on a worker that doesn't
     * answer. On average a run has worked for half of the time between two checkpoints since the last.
     *
     * @param ranMillis run time so far, in milliseconds
     * @param checkpointing whether the run writes checkpoints
     * @return the lost run time, in milliseconds
     */
    public long lostWithoutStopMillis(long ranMillis, boolean checkpointing)
    {
        return checkpointing ? Math.min(ranMillis, restoreMillis + checkpointMillis / 2) : ranMillis;
    }

    /**
     * @param remainingMillis estimated remaining time of a run, in milliseconds
     * @return whether the run frees its capacity by itself as soon as a stop may
     */
    public boolean endsBeforeStop(long remainingMillis)
    {
        return remainingMillis <= stopMillis;
    }
}
