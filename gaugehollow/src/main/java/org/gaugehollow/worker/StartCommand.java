/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * Command that starts a run of a task.
 *
 * @param task full name of the task
 * @param run number of the run
 * @param spec specification text passed to the task
 * @param deadline expiry of the lease on the worker's clock in milliseconds
 * @param fence fencing token of the owner
 * @param checkpoint saved state to resume from, or null
 * @param ticket ticket of the advice service, or null
 */
public record StartCommand(String task, int run, String spec, long deadline, long fence, String checkpoint,
        String ticket)
{
}
