/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

/**
 * A decision: this task runs on this worker until it is released.
 *
 * @param demand the task
 * @param worker the worker's id
 * @param epoch the epoch of this box's ownership of the worker, the fencing token of the start
 * @param policy the name of the policy that decided
 * @param waitedNanos how long the task waited for the decision
 */
public record Placement(TaskDemand demand, String worker, long epoch, String policy, long waitedNanos)
{
}
