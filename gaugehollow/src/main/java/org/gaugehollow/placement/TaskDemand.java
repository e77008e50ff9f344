/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.TaskClass;

/**
 * A task to be placed on a worker.
 *
 * @param task the task's id
 * @param taskClass the task's class
 * @param team the team that the task belongs to
 * @param teamWeight the team's weight for sharing among waiting tasks
 * @param teamLimit maximum number of tasks of the team that this box runs at a time, 0 for no limit
 * @param needs the resources that the task needs
 * @param deadlineNanos time at which the caller stops waiting, on the engine's clock
 */
public record TaskDemand(String task, TaskClass taskClass, String team, int teamWeight, int teamLimit,
        ComputeResources needs, long deadlineNanos)
{
}
