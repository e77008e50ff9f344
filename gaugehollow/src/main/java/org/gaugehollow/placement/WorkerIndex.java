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
 * The workers that may get work, grouped by what they hold and have free. Workers in the same state
 * score alike, so a policy looks at each distinct state once and not at each worker. Not
 * thread-safe: its engine guards it.
 */
public final class WorkerIndex
{
    /**
     * What a group of workers has in common.
     *
     * @param capacity what each holds
     * @param free what each has free
     */
    public record State(ComputeResources capacity, ComputeResources free)
    {
    }

    private final NavigableMap<String, State> byWorker = new TreeMap<>();
    private final Map<State, TreeSet<String>> byState = new HashMap<>();

    /**
     * Adds a worker or changes what it has free.
     *
     * @param worker its id
     * @param capacity what it holds
     * @param free what it has free
     */
    public void put(String worker, ComputeResources capacity, ComputeResources free)
    {
        remove(worker);
        State state = new State(capacity, free);
        byWorker.put(worker, state);
        byState.computeIfAbsent(state, s -> new TreeSet<>()).add(worker);
    }

    /**
     * @param worker the worker that gets no more work; unknown ones are ignored
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
     * @param state a state of {@link #states}
     * @return the first worker in that state, by id
     */
    public String firstWorkerIn(State state)
    {
        return byState.get(state).first();
    }

    /** @return every worker by id, in the order of ids */
    public NavigableMap<String, State> workers()
    {
        return byWorker;
    }
}
