/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import org.gaugehollow.model.ComputeResources;

/**
 * A task that is running on an upstream.
 *
 * @param task the id of the task
 * @param epoch the epoch of the owner that started the task
 * @param needs the resources of the task
 */
public record UpstreamTask(String task, long epoch, ComputeResources needs)
{
}
