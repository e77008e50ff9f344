/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

/**
 * Assignment of a task to a worker, valid until it is released.
 *
 * @param demand the task
 * @param worker the worker's id
 * @param epoch the epoch of this box's ownership of the worker, used as the fencing token
 * @param policy the name of the policy that chose the worker
 * @param waitedNanos time that the task waited in the queue, in nanoseconds
 */
public record Placement(TaskDemand demand, String worker, long epoch, String policy, long waitedNanos)
{
}
