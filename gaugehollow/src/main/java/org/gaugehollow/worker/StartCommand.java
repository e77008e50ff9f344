/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * An order to start one run of a task.
 *
 * @param task the task's full name
 * @param run the number of the run
 * @param spec text handed to the task
 * @param deadline until when the worker may run it, on the worker's clock, in milliseconds
 * @param fence the owner's fencing token
 * @param checkpoint saved state to go on from, or null
 * @param ticket the advice service's ticket, or null
 */
public record StartCommand(String task, int run, String spec, long deadline, long fence, String checkpoint,
        String ticket)
{
}
