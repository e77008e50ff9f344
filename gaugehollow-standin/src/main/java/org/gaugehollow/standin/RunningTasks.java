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

/** The tasks of one worker's stand-in: what runs, what ran, and under which claims. Thread-safe. */
final class RunningTasks
{
    private final ComputeResources capacity;
    private final boolean fencing;
    private final Map<Long, UpstreamTask> running = new LinkedHashMap<>();
    private final Map<Long, StartRecord> starts = new LinkedHashMap<>();
    private long claimedEpoch;
    private long lastStart;
    private int refused;
    private int overloads;

    RunningTasks(ComputeResources capacity, boolean fencing)
    {
        this.capacity = capacity;
        this.fencing = fencing;
    }

    /** Raises the fence; false where a newer owner has claimed the worker. */
    synchronized boolean claim(long epoch)
    {
        if (epoch < claimedEpoch)
        {
            return false;
        }
        claimedEpoch = epoch;
        return true;
    }

    /** Starts a task; empty where an older owner is fenced off. */
    synchronized Optional<Long> start(UpstreamTask task, String key, String body)
    {
        if (fencing && task.epoch() < claimedEpoch)
        {
            refused++;
            return Optional.empty();
        }
        lastStart++;
        running.put(lastStart, task);
        starts.put(lastStart,
                new StartRecord(task.task(), key, task.epoch(), System.currentTimeMillis(), 0, body));
        if (!capacity.fits(used()))
        {
            overloads++;
        }
        return Optional.of(lastStart);
    }

    synchronized void refuse()
    {
        refused++;
    }

    synchronized void end(long start)
    {
        running.remove(start);
        starts.computeIfPresent(start, (n, r) -> new StartRecord(r.task(), r.key(), r.epoch(),
                r.startedMillis(), System.currentTimeMillis(), r.body()));
    }

    synchronized List<UpstreamTask> running()
    {
        return new ArrayList<>(running.values());
    }

    synchronized WorkerRecords records(String worker)
    {
        return new WorkerRecords(worker, new ArrayList<>(starts.values()), refused, overloads);
    }

    private ComputeResources used()
    {
        ComputeResources sum = ComputeResources.NONE;
        for (UpstreamTask task : running.values())
        {
            sum = sum.plus(task.needs());
        }
        return sum;
    }
}
