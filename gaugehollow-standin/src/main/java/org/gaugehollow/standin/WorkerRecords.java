/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.util.List;

/**
 * Records of a worker stand-in.
 *
 * @param worker worker id
 * @param starts all runs in start order
 * @param refused number of rejected starts
 * @param overloads number of starts that exceeded the capacity
 */
public record WorkerRecords(String worker, List<StartRecord> starts, int refused, int overloads)
{
    /** Copies the start records. */
    public WorkerRecords
    {
        starts = List.copyOf(starts);
    }
}
