/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.List;
import java.util.Map;

import org.gaugehollow.model.ComputeResources;

/**
 * The status of a box for operators.
 *
 * @param box the id of the box
 * @param hall the hall of the box
 * @param ready whether the box accepts requests
 * @param rights the state of the rights: valid, frozen or none
 * @param storeAnswers whether the store answered the last call
 * @param configRevision the revision of the active configuration
 * @param mapEpoch the epoch of the assignment map of the hall
 * @param boxes the boxes in the assignment map and whether each is reachable
 * @param workers the workers that the box owns
 * @param keySlots the number of key slots that the box owns
 * @param keyRecords the number of key records on the box
 * @param free the free resources of the workers
 * @param waiting the number of waiting requests
 */
record BoxReport(String box, String hall, boolean ready, String rights, boolean storeAnswers,
        long configRevision, long mapEpoch, Map<String, Boolean> boxes, List<String> workers, int keySlots,
        int keyRecords, ComputeResources free, int waiting)
{
}
