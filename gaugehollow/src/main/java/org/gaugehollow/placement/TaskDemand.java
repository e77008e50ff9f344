/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.TaskClass;

/**
 * A task that wants a worker.
 *
 * @param task its id
 * @param taskClass its class
 * @param team its team
 * @param teamWeight the team's share among waiting tasks
 * @param teamLimit how many tasks the team may run here at once, 0 for no limit
 * @param needs what it takes on a worker
 * @param deadlineNanos when its caller stops waiting, on the engine's clock
 */
public record TaskDemand(String task, TaskClass taskClass, String team, int teamWeight, int teamLimit,
        ComputeResources needs, long deadlineNanos)
{
}
