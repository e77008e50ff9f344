/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Brings the assignment map of the data hall in line with the registered boxes and listed workers.
 * Only the relays, the first two boxes of the map that are reachable, do this, so that the load on
 * the store does not grow with the number of boxes.
 */
public final class MapReconciler implements SupervisedTask
{
    private static final int MAX_RELAYS = 2;
    private static final long PERIOD_MILLIS = 500;
    private static final long MISSING_WORKER_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final BoxIdentity self;
    private final PlatformStore store;
    private final MapStore mapStore;
    private final AssignmentMaps maps;
    private final PeerMonitor peers;
    private final RosterCache roster;
    private final StoreLiveness storeLiveness;
    private final TakeoverGuard guard;
    private final EventLog events;
    private final Map<String, Long> workerMissingSince = new HashMap<>();

    /**
     * @param parts the collaborators shared with the peer monitor
     * @param store the store
     * @param mapStore the store access for the map
     * @param peers the peer monitor
     * @param confirmationMillis the time in milliseconds for which a peer confirmation is valid
     * @param abandonSeconds the time in seconds after which a takeover proceeds without a quorum, or 0
     *            for never
     */
    public MapReconciler(PeerMonitor.Parts parts, PlatformStore store, MapStore mapStore, PeerMonitor peers,
            long confirmationMillis, long abandonSeconds)
    {
        this.self = parts.self();
        this.maps = parts.maps();
        this.roster = parts.roster();
        this.events = parts.events();
        this.storeLiveness = parts.storeLiveness();
        this.store = store;
        this.mapStore = mapStore;
        this.peers = peers;
        this.guard = new TakeoverGuard(self, peers, confirmationMillis, abandonSeconds, events);
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            if (isRelay())
            {
                reconcileOnce();
            }
            else
            {
                guard.reset();
            }
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    /**
     * @return whether this box is one of the first reachable boxes of the map, or in no map yet, and so
     *         reads the store for its data hall
     */
    public boolean isRelay()
    {
        Optional<AssignmentMap> map = maps.map();
        if (map.isEmpty() || !map.get().boxes().containsKey(self.id()))
        {
            return true;
        }
        List<String> relays = map.get().boxes().keySet().stream().filter(peers::isReachable).limit(MAX_RELAYS)
                .toList();
        return relays.contains(self.id());
    }

    private void reconcileOnce() throws InterruptedException
    {
        try
        {
            Optional<AssignmentMaps.Versioned> current = maps.versioned();
            if (current.isEmpty())
            {
                createMap();
            }
            else
            {
                reconcile(current.get());
            }
        }
        catch (GaugehollowException e)
        {
            guard.reset();
        }
    }

    private void createMap() throws InterruptedException
    {
        if (mapStore.refresh().isEmpty())
        {
            mapStore.change(0, AssignmentMap.initial(self.toMember()), MapStore.noBoxes());
        }
    }

    private void reconcile(AssignmentMaps.Versioned current) throws InterruptedException
    {
        Map<String, MemberRecord> registered = readRegisteredBoxes();
        storeLiveness.recordContact();
        long listedAt = SteadyClock.nanos();
        AssignmentMap map = current.map();
        Set<String> expired = guard.findExpired(map, registered.keySet(), listedAt);
        List<AssignmentMap.Member> joining = new ArrayList<>();
        for (MemberRecord member : registered.values())
        {
            if (!member.leaving())
            {
                joining.add(new AssignmentMap.Member(member.box(), member.peerAddress()));
            }
        }
        AssignmentMap next = MapPlanner.afterMembershipChange(map, expired, joining, wantedWorkers(map));
        if (next != map && mapStore.change(current.revision(), next, expired))
        {
            expired.forEach(box -> events.record(EventType.BOX_REMOVED, box, "epoch " + next.epoch()));
        }
    }

    private Map<String, MemberRecord> readRegisteredBoxes() throws InterruptedException
    {
        StoreListing listing = store.list(StoreKeys.members(self.hall()));
        Map<String, MemberRecord> members = new HashMap<>();
        for (StoredValue value : listing.values())
        {
            MemberRecord member = Json.read(value.value(), MemberRecord.class, ResultCode.STORE_BAD_ANSWER);
            members.put(member.box(), member);
        }
        return members;
    }

    /**
     * Returns the listed workers and, for a limited time, those that are no longer listed, since the
     * list may lag or omit workers briefly.
     */
    private Set<String> wantedWorkers(AssignmentMap map)
    {
        long now = SteadyClock.nanos();
        Set<String> listed = roster.workers().keySet();
        Set<String> wanted = new HashSet<>(listed);
        workerMissingSince.keySet().removeAll(listed);
        for (String worker : map.workers().keySet())
        {
            if (!listed.contains(worker))
            {
                long missingSince = workerMissingSince.computeIfAbsent(worker, w -> now);
                if (now - missingSince < MISSING_WORKER_RETENTION_NANOS)
                {
                    wanted.add(worker);
                }
            }
        }
        return wanted;
    }
}
