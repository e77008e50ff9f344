/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.util.List;

/**
 * What a worker's stand-in recorded.
 *
 * @param worker its id
 * @param starts every run, in the order of their starts
 * @param refused how many starts it refused
 * @param overloads how often what ran together was more than it holds
 */
public record WorkerRecords(String worker, List<StartRecord> starts, int refused, int overloads)
{
    /** Copies the list. */
    public WorkerRecords
    {
        starts = List.copyOf(starts);
    }
}
