/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * Client of one incarnation of a worker. Each call waits for the reply; a call that gets none in
 * time returns {@link CommandResult#UNKNOWN}. Failures of the worker never cause an exception.
 */
public interface WorkerPort extends AutoCloseable
{
    /**
     * Starts a run.
     *
     * @param command run to start
     * @param timeoutMillis timeout in milliseconds
     * @return the worker's reply
     * @throws InterruptedException if the thread is interrupted
     */
    CommandReply start(StartCommand command, int timeoutMillis) throws InterruptedException;

    /**
     * Stops a run. A run that has not started yet can never start afterwards.
     *
     * @param task full name of the task
     * @param run number of the run
     * @param fence fencing token of the owner
     * @param timeoutMillis timeout in milliseconds
     * @return the worker's reply
     * @throws InterruptedException if the thread is interrupted
     */
    CommandReply stop(String task, int run, long fence, int timeoutMillis) throws InterruptedException;

    /**
     * Limits the speed of a run.
     *
     * @param task full name of the task
     * @param run number of the run
     * @param percent speed limit in percent of full speed, 0 to 100
     * @param fence fencing token of the owner
     * @param timeoutMillis timeout in milliseconds
     * @return the worker's reply
     * @throws InterruptedException if the thread is interrupted
     */
    CommandReply throttle(String task, int run, int percent, long fence, int timeoutMillis)
            throws InterruptedException;

    /**
     * Renews the leases, acknowledges run ends and returns the current runs.
     *
     * @param request lease deadline and acknowledged run ends
     * @param timeoutMillis timeout in milliseconds
     * @return running and ended runs
     * @throws InterruptedException if the thread is interrupted
     */
    HeartbeatReply heartbeat(HeartbeatRequest request, int timeoutMillis) throws InterruptedException;

    @Override
    void close();
}
