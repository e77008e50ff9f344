/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.membership.AssignmentMaps;
import org.gaugehollow.membership.Rights;
import org.gaugehollow.membership.RosterCache;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.Worker;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.placement.PlacementEngine;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.upstream.UpstreamClient;

/**
 * Starts and ends the work with each worker as the hall's map gives it to this box or takes it
 * away. Thread-safe.
 */
final class WorkerKeeper
{
    private final String self;
    private final AssignmentMaps halls;
    private final RosterCache roster;
    private final PlacementEngine engine;
    private final Rights rights;
    private final NetLoops loops;
    private final Supervisor supervisor;
    private final EventLog events;
    private final Map<String, OwnedUpstream> owned = new HashMap<>();
    private final Set<String> withheld = new HashSet<>();

    WorkerKeeper(String self, AssignmentMaps halls, RosterCache roster, PlacementEngine engine, Rights rights,
            NetLoops loops, Supervisor supervisor, EventLog events)
    {
        this.self = self;
        this.halls = halls;
        this.roster = roster;
        this.engine = engine;
        this.rights = rights;
        this.loops = loops;
        this.supervisor = supervisor;
        this.events = events;
    }

    /** Makes the owned workers match map and list. */
    synchronized void match()
    {
        Map<String, AssignmentMap.Assignment> assigned = halls.map().map(AssignmentMap::workers)
                .orElse(Map.of());
        for (String id : Set.copyOf(owned.keySet()))
        {
            AssignmentMap.Assignment now = assigned.get(id);
            boolean kept = now != null && now.box().equals(self) && now.epoch() == owned.get(id).epoch()
                    && sameWorker(id);
            if (!kept)
            {
                end(id);
            }
        }
        assigned.forEach((id, assignment) ->
        {
            if (assignment.box().equals(self) && !withheld.contains(id) && !owned.containsKey(id))
            {
                roster.worker(id).ifPresent(worker -> begin(worker, assignment.epoch()));
            }
        });
        owned.forEach(
                (id, upstream) -> roster.worker(id).ifPresent(w -> upstream.setListedAsLeaving(w.leaving())));
    }

    /**
     * A worker that the list no longer names stays as it was; one that came back elsewhere is another
     * one.
     */
    private boolean sameWorker(String id)
    {
        Worker held = owned.get(id).worker();
        return roster.worker(id)
                .map(now -> now.address().equals(held.address()) && now.capacity().equals(held.capacity()))
                .orElse(true);
    }

    /**
     * Stops placing on workers that are about to be given away. Requests in flight there go on, and
     * count until the map gives the workers to others.
     *
     * @param workers their ids
     */
    synchronized void withhold(Collection<String> workers)
    {
        withheld.addAll(workers);
        setWithheld(true);
    }

    /** Uses withheld workers again where the map still gives them to this box. */
    synchronized void releaseWithheld()
    {
        setWithheld(false);
        withheld.clear();
        match();
    }

    private void setWithheld(boolean value)
    {
        for (String id : withheld)
        {
            OwnedUpstream upstream = owned.get(id);
            if (upstream != null)
            {
                upstream.setWithheld(value);
            }
        }
    }

    /**
     * @param worker a worker's id
     * @return the worker, if this box owns it and it is not withheld
     */
    synchronized Optional<OwnedUpstream> upstream(String worker)
    {
        return withheld.contains(worker) ? Optional.empty() : Optional.ofNullable(owned.get(worker));
    }

    private void begin(Worker worker, long epoch)
    {
        UpstreamClient client = new UpstreamClient(loops, worker.id(), NetAddress.parse(worker.address()),
                events);
        OwnedUpstream upstream = new OwnedUpstream(worker, epoch, self, client, engine, rights, events);
        owned.put(worker.id(), upstream);
        supervisor.start(worker.id(), upstream);
    }

    private void end(String id)
    {
        OwnedUpstream upstream = owned.remove(id);
        supervisor.stop(id);
        upstream.close();
    }
}
