/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;

import org.gaugehollow.model.ComputeResources;

/**
 * Index of the workers that accept tasks, grouped by capacity and free resources. Workers in the
 * same state have the same score, so a policy computes one score for each distinct state. Not
 * thread-safe: guarded by the engine's lock.
 */
public final class WorkerIndex
{
    /**
     * The state that a group of workers shares.
     *
     * @param capacity total resources of each worker
     * @param free free resources of each worker
     */
    public record State(ComputeResources capacity, ComputeResources free)
    {
    }

    private final NavigableMap<String, State> byWorker = new TreeMap<>();
    private final Map<State, TreeSet<String>> byState = new HashMap<>();

    /**
     * Adds or updates a worker.
     *
     * @param worker the worker's id
     * @param capacity the worker's total resources
     * @param free the worker's free resources
     */
    public void put(String worker, ComputeResources capacity, ComputeResources free)
    {
        remove(worker);
        State state = new State(capacity, free);
        byWorker.put(worker, state);
        byState.computeIfAbsent(state, s -> new TreeSet<>()).add(worker);
    }

    /**
     * Removes a worker. Unknown workers are ignored.
     *
     * @param worker the worker's id
     */
    public void remove(String worker)
    {
        State state = byWorker.remove(worker);
        if (state == null)
        {
            return;
        }
        TreeSet<String> group = byState.get(state);
        group.remove(worker);
        if (group.isEmpty())
        {
            byState.remove(state);
        }
    }

    /** @return the distinct states with at least one worker each */
    public Collection<State> states()
    {
        return byState.keySet();
    }

    /**
     * @param state a state returned by {@link #states}
     * @return the lowest id of the workers in that state
     */
    public String firstWorkerIn(State state)
    {
        return byState.get(state).first();
    }

    /** @return the state of each worker, sorted by worker id */
    public NavigableMap<String, State> workers()
    {
        return byWorker;
    }
}
