/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.List;

/**
 * What a test's cell consists of.
 *
 * @param halls the halls
 * @param boxesPerHall entry boxes in each
 * @param workersPerHall workers in each
 * @param slots slots of each worker
 * @param fencing whether the workers refuse older owners
 */
record CellOptions(List<String> halls, int boxesPerHall, int workersPerHall, int slots, boolean fencing)
{
    static CellOptions oneHall(int boxes, int workers)
    {
        return new CellOptions(List.of("bole"), boxes, workers, 8, true);
    }
}
