/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import org.gaugehollow.model.ComputeResources;

/**
 * A task that an upstream says it runs.
 *
 * @param task its id
 * @param epoch the epoch it was started with
 * @param needs what it takes
 */
public record UpstreamTask(String task, long epoch, ComputeResources needs)
{
}
