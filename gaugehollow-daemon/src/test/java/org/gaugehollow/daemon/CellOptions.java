/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.List;

/**
 * Layout of a test cell.
 *
 * @param halls names of the data halls
 * @param boxesPerHall number of entry boxes in each hall
 * @param workersPerHall number of workers in each hall
 * @param slots number of slots of each worker
 * @param fencing whether workers reject starts from older owners
 */
record CellOptions(List<String> halls, int boxesPerHall, int workersPerHall, int slots, boolean fencing)
{
    static CellOptions oneHall(int boxes, int workers)
    {
        return new CellOptions(List.of("bole"), boxes, workers, 8, true);
    }
}
