/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;

/**
 * The estimated speeds in a term at one time.
 *
 * @param slownessByKind duration of runs relative to the typical worker, by kind of worker
 * @param slowPlacements number of placements in the term on workers that were too slow for the
 *            objective of the job
 */
public record SpeedSnapshot(Map<String, Double> slownessByKind, long slowPlacements)
{
    /** Nothing is known. */
    public static final SpeedSnapshot EMPTY = new SpeedSnapshot(Map.of(), 0);
}
