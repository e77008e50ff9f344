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

/** Manages the upstreams of this box according to the assignment map of the hall. Thread-safe. */
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

    /** Starts and stops upstreams so that they match the assignment map and the roster. */
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
     * Returns whether the roster has the worker with the same address and capacity. A worker that is
     * missing from the roster counts as unchanged.
     */
    private boolean isUnchanged(String id)
    {
        Worker current = ownedUpstreams.get(id).worker();
        return roster.worker(id).map(listed -> listed.address().equals(current.address())
                && listed.capacity().equals(current.capacity())).orElse(true);
    }

    /**
     * Stops placing tasks on workers that are about to be transferred. Requests in flight continue, and
     * their resources stay reserved until the workers change owner.
     *
     * @param workers the ids of the workers
     */
    synchronized void cordon(Collection<String> workers)
    {
        cordoned.addAll(workers);
        setCordoned(true);
    }

    /** Resumes placing tasks on cordoned workers that this box still owns. */
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
     * Returns the upstream of a worker.
     *
     * @param worker the id of the worker
     * @return the upstream, or empty if this box does not own the worker or the worker is cordoned
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
