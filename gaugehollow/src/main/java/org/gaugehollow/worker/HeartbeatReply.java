/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.List;

/**
 * What a worker answers to a hold.
 *
 * @param result {@link CommandResult#DONE} where the lists are valid
 * @param clockMillis the worker's clock when it answered
 * @param running what runs there
 * @param ended ends that were not yet taken note of
 */
public record HeartbeatReply(CommandResult result, long clockMillis, List<RunningRun> running,
        List<EndedRun> ended)
{
    /**
     * A run that is there.
     *
     * @param task the task's full name
     * @param run the number of the run
     * @param checkpoint the newest saved state, or an empty text
     * @param percent how far it has come, or at what share a long-running one works
     * @param gauge tail of answer times in milliseconds for a serving task, otherwise processor share
     *            in use
     */
    public record RunningRun(String task, int run, String checkpoint, int percent, double gauge)
    {
    }

    /**
     * The end of a run.
     *
     * @param number rises by one with each end in one life of the worker
     * @param task the task's full name
     * @param run the number of the run
     * @param how how it ended
     * @param checkpoint the newest saved state, or an empty text
     */
    public record EndedRun(long number, String task, int run, RunEnd how, String checkpoint)
    {
    }

    /**
     * @param result why there is no valid answer
     * @return an answer without lists
     */
    public static HeartbeatReply refused(CommandResult result)
    {
        return new HeartbeatReply(result, 0, List.of(), List.of());
    }
}
