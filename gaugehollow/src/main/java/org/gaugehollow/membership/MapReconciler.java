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
 * Keeps the hall's map true to who is there. Only the relays of a hall do it, the first two boxes
 * of the map that can reach each other, so the store sees the same few calls however many boxes
 * there are.
 */
public final class MapReconciler implements SupervisedTask
{
    private static final int RELAYS = 2;
    private static final long PERIOD_MILLIS = 500;
    private static final long WORKER_GONE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final BoxIdentity self;
    private final PlatformStore store;
    private final MapStore mapStore;
    private final AssignmentMaps halls;
    private final PeerMonitor peers;
    private final RosterCache roster;
    private final StoreLiveness evidence;
    private final TakeoverGuard guard;
    private final EventLog events;
    private final Map<String, Long> workerMissingSince = new HashMap<>();

    /**
     * @param parts what the monitor of peers works with, shared here
     * @param store the platform's service
     * @param mapStore changes the map
     * @param peers the monitor of peers
     * @param witnessMillis how long a peer's word is good for
     * @param abandonSeconds after how long a take-over goes ahead without its quorum, 0 for never
     */
    public MapReconciler(PeerMonitor.Parts parts, PlatformStore store, MapStore mapStore, PeerMonitor peers,
            long witnessMillis, long abandonSeconds)
    {
        this.self = parts.self();
        this.halls = parts.halls();
        this.roster = parts.roster();
        this.events = parts.events();
        this.evidence = parts.evidence();
        this.store = store;
        this.mapStore = mapStore;
        this.peers = peers;
        this.guard = new TakeoverGuard(self, peers, witnessMillis, abandonSeconds, events);
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            if (isRelay())
            {
                keepOnce();
            }
            else
            {
                guard.forget();
            }
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    /**
     * @return whether this box follows the store for its hall: it is one of the first boxes of the map
     *         that can be reached, or it is in no map yet
     */
    public boolean isRelay()
    {
        Optional<AssignmentMap> map = halls.map();
        if (map.isEmpty() || !map.get().boxes().containsKey(self.id()))
        {
            return true;
        }
        List<String> first = map.get().boxes().keySet().stream().filter(peers::isReachable).limit(RELAYS)
                .toList();
        return first.contains(self.id());
    }

    private void keepOnce() throws InterruptedException
    {
        try
        {
            Optional<AssignmentMaps.Versioned> known = halls.versioned();
            if (known.isEmpty())
            {
                createMap();
            }
            else
            {
                reconcile(known.get());
            }
        }
        catch (GaugehollowException e)
        {
            guard.forget();
        }
    }

    private void createMap() throws InterruptedException
    {
        if (mapStore.refresh().isEmpty())
        {
            mapStore.change(0, AssignmentMap.initial(self.toMember()), MapStore.noBoxes());
        }
    }

    private void reconcile(AssignmentMaps.Versioned known) throws InterruptedException
    {
        Map<String, MemberRecord> registered = registered();
        evidence.recordContact();
        long listedAt = SteadyClock.nanos();
        AssignmentMap map = known.map();
        Set<String> lapsed = guard.lapsed(map, registered.keySet(), listedAt);
        List<AssignmentMap.Member> joining = new ArrayList<>();
        for (MemberRecord member : registered.values())
        {
            if (!member.leaving())
            {
                joining.add(new AssignmentMap.Member(member.box(), member.peerAddress()));
            }
        }
        AssignmentMap next = MapPlanner.afterMembership(map, lapsed, joining, workersWanted(map));
        if (next != map && mapStore.change(known.revision(), next, lapsed))
        {
            lapsed.forEach(box -> events.record(EventType.BOX_REMOVED, box, "epoch " + next.epoch()));
        }
    }

    private Map<String, MemberRecord> registered() throws InterruptedException
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
     * The workers of the list, and for a while those that it no longer names, since it lags and may
     * flicker.
     */
    private Set<String> workersWanted(AssignmentMap map)
    {
        long now = SteadyClock.nanos();
        Set<String> listed = roster.workers().keySet();
        Set<String> wanted = new HashSet<>(listed);
        workerMissingSince.keySet().removeAll(listed);
        for (String worker : map.workers().keySet())
        {
            if (!listed.contains(worker))
            {
                long since = workerMissingSince.computeIfAbsent(worker, w -> now);
                if (now - since < WORKER_GONE_NANOS)
                {
                    wanted.add(worker);
                }
            }
        }
        return wanted;
    }
}
