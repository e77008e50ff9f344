/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import java.util.List;

/**
 * What an upstream says when it is claimed or asked.
 *
 * @param accepted whether a claim was accepted; true where none was made
 * @param fencing whether it refuses starts of older owners
 * @param leaving whether it is leaving
 * @param tasks what runs there
 */
public record UpstreamReport(boolean accepted, boolean fencing, boolean leaving, List<UpstreamTask> tasks)
{
    /** Copies the list. */
    public UpstreamReport
    {
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }
}
