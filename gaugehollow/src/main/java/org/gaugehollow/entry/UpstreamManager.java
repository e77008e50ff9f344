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
final class UpstreamManager
{
    private final String self;
    private final AssignmentMaps assignmentMaps;
    private final RosterCache roster;
    private final PlacementEngine engine;
    private final Rights rights;
    private final NetLoops loops;
    private final Supervisor supervisor;
    private final EventLog events;
    private final Map<String, OwnedUpstream> ownedUpstreams = new HashMap<>();
    private final Set<String> cordoned = new HashSet<>();

    UpstreamManager(String self, AssignmentMaps assignmentMaps, RosterCache roster, PlacementEngine engine,
            Rights rights, NetLoops loops, Supervisor supervisor, EventLog events)
    {
        this.self = self;
        this.assignmentMaps = assignmentMaps;
        this.roster = roster;
        this.engine = engine;
        this.rights = rights;
        this.loops = loops;
        this.supervisor = supervisor;
        this.events = events;
    }

    /** Makes the owned workers match map and list. */
    synchronized void reconcile()
    {
        Map<String, AssignmentMap.Assignment> assigned = assignmentMaps.map().map(AssignmentMap::workers)
                .orElse(Map.of());
        for (String id : Set.copyOf(ownedUpstreams.keySet()))
        {
            AssignmentMap.Assignment current = assigned.get(id);
            boolean unchanged = current != null && current.box().equals(self)
                    && current.epoch() == ownedUpstreams.get(id).epoch() && isUnchanged(id);
            if (!unchanged)
            {
                stop(id);
            }
        }
        assigned.forEach((id, assignment) ->
        {
            if (assignment.box().equals(self) && !cordoned.contains(id) && !ownedUpstreams.containsKey(id))
            {
                roster.worker(id).ifPresent(worker -> start(worker, assignment.epoch()));
            }
        });
        ownedUpstreams.forEach(
                (id, upstream) -> roster.worker(id).ifPresent(w -> upstream.setListedAsLeaving(w.leaving())));
    }

    /**
     * A worker that the list no longer names stays as it was; one that came back elsewhere is another
     * one.
     */
    private boolean isUnchanged(String id)
    {
        Worker current = ownedUpstreams.get(id).worker();
        return roster.worker(id).map(listed -> listed.address().equals(current.address())
                && listed.capacity().equals(current.capacity())).orElse(true);
    }

    /**
     * Stops placing on workers that are about to be given away. Requests in flight there go on, and
     * count until the map gives the workers to others.
     *
     * @param workers their ids
     */
    synchronized void cordon(Collection<String> workers)
    {
        cordoned.addAll(workers);
        setCordoned(true);
    }

    /** Uses withheld workers again where the map still gives them to this box. */
    synchronized void uncordonAll()
    {
        setCordoned(false);
        cordoned.clear();
        reconcile();
    }

    private void setCordoned(boolean value)
    {
        for (String id : cordoned)
        {
            OwnedUpstream upstream = ownedUpstreams.get(id);
            if (upstream != null)
            {
                upstream.setCordoned(value);
            }
        }
    }

    /**
     * @param worker a worker's id
     * @return the worker, if this box owns it and it is not withheld
     */
    synchronized Optional<OwnedUpstream> upstream(String worker)
    {
        return cordoned.contains(worker) ? Optional.empty() : Optional.ofNullable(ownedUpstreams.get(worker));
    }

    private void start(Worker worker, long epoch)
    {
        UpstreamClient client = new UpstreamClient(loops, worker.id(), NetAddress.parse(worker.address()),
                events);
        OwnedUpstream upstream = new OwnedUpstream(worker, epoch, self, client, engine, rights, events);
        ownedUpstreams.put(worker.id(), upstream);
        supervisor.start(worker.id(), upstream);
    }

    private void stop(String id)
    {
        OwnedUpstream upstream = ownedUpstreams.remove(id);
        supervisor.stop(id);
        upstream.close();
    }
}
