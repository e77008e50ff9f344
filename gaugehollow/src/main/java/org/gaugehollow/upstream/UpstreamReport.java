/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import java.util.List;

/**
 * The answer of an upstream to a claim or a probe.
 *
 * @param accepted whether the claim was accepted; true for a probe
 * @param fencing whether the upstream rejects requests of older owners
 * @param leaving whether the upstream is leaving
 * @param tasks the running tasks
 */
public record UpstreamReport(boolean accepted, boolean fencing, boolean leaving, List<UpstreamTask> tasks)
{
    /** Creates a report; missing tasks become an empty list. */
    public UpstreamReport
    {
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }
}
