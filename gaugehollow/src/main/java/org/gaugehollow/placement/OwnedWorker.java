/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.HashMap;
import java.util.Map;

import org.gaugehollow.model.ComputeResources;

/** Resources and placements of one owned worker. Not thread-safe: guarded by the engine's lock. */
final class OwnedWorker
{
    private final String id;
    private final Map<String, Placement> running = new HashMap<>();
    private long epoch;
    private ComputeResources capacity = ComputeResources.NONE;
    private ComputeResources used = ComputeResources.NONE;
    private ComputeResources orphanUsage = ComputeResources.NONE;
    private boolean accepting;

    OwnedWorker(String id)
    {
        this.id = id;
    }

    void update(long newEpoch, ComputeResources newCapacity, ComputeResources newOrphanUsage,
            boolean newAccepting)
    {
        epoch = newEpoch;
        capacity = newCapacity;
        orphanUsage = newOrphanUsage;
        accepting = newAccepting;
    }

    void allocate(Placement placement)
    {
        running.put(placement.demand().task(), placement);
        used = used.plus(placement.demand().needs());
    }

    /**
     * Frees the resources of a placement. Returns false if the placement is unknown, for example after
     * the ownership of the worker has changed.
     */
    boolean release(Placement placement)
    {
        if (!running.remove(placement.demand().task(), placement))
        {
            return false;
        }
        used = used.minus(placement.demand().needs());
        return true;
    }

    ComputeResources free()
    {
        return capacity.minusClamped(used).minusClamped(orphanUsage);
    }

    String id()
    {
        return id;
    }

    long epoch()
    {
        return epoch;
    }

    ComputeResources capacity()
    {
        return capacity;
    }

    boolean isAccepting()
    {
        return accepting;
    }

    void setAccepting(boolean value)
    {
        accepting = value;
    }
}
