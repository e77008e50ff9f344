/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.List;

/**
 * Reply of a worker to a heartbeat.
 *
 * @param result {@link CommandResult#DONE} if the lists are valid
 * @param clockMillis the worker's clock at the time of the reply in milliseconds
 * @param running runs in progress on the worker
 * @param ended run ends that the owner has not acknowledged yet
 */
public record HeartbeatReply(CommandResult result, long clockMillis, List<RunningRun> running,
        List<EndedRun> ended)
{
    /**
     * A run in progress.
     *
     * @param task full name of the task
     * @param run number of the run
     * @param checkpoint newest saved state, or an empty string
     * @param percent progress of the run, or the share of full speed for a long-running task
     * @param gauge tail latency in milliseconds for a serving task, otherwise the processor share in
     *            use
     */
    public record RunningRun(String task, int run, String checkpoint, int percent, double gauge)
    {
    }

    /**
     * The end of a run.
     *
     * @param number sequence number, increased by one with each run end of an incarnation
     * @param task full name of the task
     * @param run number of the run
     * @param how reason for the end
     * @param checkpoint newest saved state, or an empty string
     */
    public record EndedRun(long number, String task, int run, RunEnd how, String checkpoint)
    {
    }

    /**
     * @param result reason for the missing lists
     * @return a reply with empty lists
     */
    public static HeartbeatReply refused(CommandResult result)
    {
        return new HeartbeatReply(result, 0, List.of(), List.of());
    }
}
