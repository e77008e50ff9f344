/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * The orders that one life of a worker takes. Each call waits for its answer; a call without an
 * answer in time ends as {@link CommandResult#UNKNOWN} and never throws for the worker's sake.
 */
public interface WorkerPort extends AutoCloseable
{
    /**
     * @param order what to start
     * @param timeoutMillis how long to wait for the answer
     * @return what became of it
     * @throws InterruptedException if the process stops
     */
    CommandReply start(StartCommand command, int timeoutMillis) throws InterruptedException;

    /**
     * @param task the task's full name
     * @param run the run that is to end; it can never start afterwards
     * @param fence the owner's fencing token
     * @param timeoutMillis how long to wait for the answer
     * @return what became of it
     * @throws InterruptedException if the process stops
     */
    CommandReply stop(String task, int run, long fence, int timeoutMillis) throws InterruptedException;

    /**
     * @param task the task's full name
     * @param run the run
     * @param percent at what share of its speed it is to work, 0 to 100
     * @param fence the owner's fencing token
     * @param timeoutMillis how long to wait for the answer
     * @return what became of it
     * @throws InterruptedException if the process stops
     */
    CommandReply throttle(String task, int run, int percent, long fence, int timeoutMillis)
            throws InterruptedException;

    /**
     * @param order how long the lease is to last and what was seen
     * @param timeoutMillis how long to wait for the answer
     * @return what runs there and what ended
     * @throws InterruptedException if the process stops
     */
    HeartbeatReply heartbeat(HeartbeatRequest request, int timeoutMillis) throws InterruptedException;

    @Override
    void close();
}
