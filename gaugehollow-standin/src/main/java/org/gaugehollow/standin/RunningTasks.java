/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.upstream.UpstreamTask;

/** Running tasks and start records of a worker stand-in. Thread-safe. */
final class RunningTasks
{
    private final ComputeResources capacity;
    private final boolean fencing;
    private final Map<Long, UpstreamTask> running = new LinkedHashMap<>();
    private final Map<Long, StartRecord> starts = new LinkedHashMap<>();
    private long claimedEpoch;
    private long lastStartNumber;
    private int rejectedStarts;
    private int overloads;

    RunningTasks(ComputeResources capacity, boolean fencing)
    {
        this.capacity = capacity;
        this.fencing = fencing;
    }

    /** Raises the claimed epoch, or returns false if a newer owner has claimed the worker. */
    synchronized boolean claim(long epoch)
    {
        if (epoch < claimedEpoch)
        {
            return false;
        }
        claimedEpoch = epoch;
        return true;
    }

    /** Starts a task and returns its start number, or empty if an older owner is fenced off. */
    synchronized Optional<Long> start(UpstreamTask task, String key, String body)
    {
        if (fencing && task.epoch() < claimedEpoch)
        {
            rejectedStarts++;
            return Optional.empty();
        }
        lastStartNumber++;
        running.put(lastStartNumber, task);
        starts.put(lastStartNumber,
                new StartRecord(task.task(), key, task.epoch(), System.currentTimeMillis(), 0, body));
        if (!capacity.fits(usedResources()))
        {
            overloads++;
        }
        return Optional.of(lastStartNumber);
    }

    synchronized void recordRejection()
    {
        rejectedStarts++;
    }

    synchronized void recordEnd(long startNumber)
    {
        running.remove(startNumber);
        starts.computeIfPresent(startNumber, (n, r) -> new StartRecord(r.task(), r.key(), r.epoch(),
                r.startedMillis(), System.currentTimeMillis(), r.body()));
    }

    synchronized List<UpstreamTask> running()
    {
        return new ArrayList<>(running.values());
    }

    synchronized WorkerRecords records(String worker)
    {
        return new WorkerRecords(worker, new ArrayList<>(starts.values()), rejectedStarts, overloads);
    }

    private ComputeResources usedResources()
    {
        ComputeResources sum = ComputeResources.NONE;
        for (UpstreamTask task : running.values())
        {
            sum = sum.plus(task.needs());
        }
        return sum;
    }
}
