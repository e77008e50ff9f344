/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.List;
import java.util.Map;

import org.gaugehollow.model.ComputeResources;

/**
 * What a box says of itself to operators.
 *
 * @param box its id
 * @param hall its hall
 * @param ready whether it serves
 * @param rights valid, frozen or none
 * @param storeAnswers whether the store answered its last call
 * @param configRevision the configuration in force
 * @param mapEpoch the epoch of the hall's map
 * @param boxes the boxes of the map and whether each can be reached
 * @param workers the workers it owns
 * @param keySlots how many key slots it owns
 * @param keyRecords how many key records it keeps
 * @param free what its workers have free
 * @param waiting how many requests wait
 */
record BoxReport(String box, String hall, boolean ready, String rights, boolean storeAnswers,
        long configRevision, long mapEpoch, Map<String, Boolean> boxes, List<String> workers, int keySlots,
        int keyRecords, ComputeResources free, int waiting)
{
}
