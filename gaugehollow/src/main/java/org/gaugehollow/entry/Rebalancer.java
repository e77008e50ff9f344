/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.keys.KeyReplicator;
import org.gaugehollow.keys.KeyTable;
import org.gaugehollow.membership.AssignmentMaps;
import org.gaugehollow.membership.BoxIdentity;
import org.gaugehollow.membership.MapPlanner;
import org.gaugehollow.membership.MapStore;
import org.gaugehollow.membership.PeerMonitor;
import org.gaugehollow.membership.Rights;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Transfers workers and key slots to boxes that own fewer, or all of them when this box leaves.
 * Only the owner starts a transfer: it stops using the workers and slots, hands over the key
 * records and then changes the assignment map.
 */
final class Rebalancer implements SupervisedTask
{
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long LEAVING_INTERVAL_MILLIS = 100;

    private final BoxIdentity self;
    private final AssignmentMaps assignmentMaps;
    private final Rights rights;
    private final PeerMonitor peers;
    private final MapStore mapStore;
    private final UpstreamManager upstreams;
    private final KeyTable keyTable;
    private final KeyReplicator replicator;
    private final EventLog events;
    private boolean changePending;
    private volatile boolean leaving;

    Rebalancer(RequestSupport support, MapStore mapStore, UpstreamManager upstreams, KeyTable keyTable,
            KeyReplicator replicator)
    {
        this.self = support.self();
        this.assignmentMaps = support.assignmentMaps();
        this.rights = support.rights();
        this.peers = support.peers();
        this.events = support.events();
        this.mapStore = mapStore;
        this.upstreams = upstreams;
        this.keyTable = keyTable;
        this.replicator = replicator;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            Thread.sleep(leaving ? LEAVING_INTERVAL_MILLIS : INTERVAL_MILLIS);
            rebalanceOnce();
        }
    }

    /** Starts to transfer everything that this box owns. */
    void startLeaving()
    {
        leaving = true;
    }

    /** @return whether this box owns no workers and no key slots */
    boolean ownsNothing()
    {
        return assignmentMaps.map()
                .map(map -> map.workersOf(self.id()).isEmpty() && map.slotsOf(self.id()).isEmpty())
                .orElse(true);
    }

    private void rebalanceOnce() throws InterruptedException
    {
        Optional<AssignmentMaps.Versioned> current = assignmentMaps.versioned();
        boolean canTransfer = current.isPresent() && rights.isValid()
                && current.get().map().boxes().containsKey(self.id());
        if (!canTransfer)
        {
            return;
        }
        try
        {
            if (changePending)
            {
                settlePendingChange();
            }
            else
            {
                rebalance(current.get());
            }
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.TAKEOVER_WAITS, self.id(), "rebalancing is delayed: " + e.getMessage());
        }
    }

    private void rebalance(AssignmentMaps.Versioned current) throws InterruptedException
    {
        AssignmentMap map = current.map();
        Map<String, Integer> workerCounts = receivers();
        Map<String, Integer> slotCounts = new TreeMap<>(workerCounts);
        workerCounts.replaceAll((box, count) -> map.workersOf(box).size());
        slotCounts.replaceAll((box, count) -> map.slotsOf(box).size());
        Map<String, String> workerTransfers = MapPlanner.planTransfers(workerCounts, self.id(), leaving,
                map.workersOf(self.id()));
        Map<Integer, String> slotTransfers = MapPlanner.planTransfers(slotCounts, self.id(), leaving,
                map.slotsOf(self.id()));
        if (workerTransfers.isEmpty() && slotTransfers.isEmpty())
        {
            return;
        }
        upstreams.cordon(workerTransfers.keySet());
        keyTable.setMoving(slotTransfers.keySet(), true);
        Map<Integer, String> handedOver = handOverIdleSlots(map, slotTransfers);
        changeMap(current, workerTransfers, handedOver);
    }

    /**
     * Returns the boxes that may receive workers and slots, including this one, each with a count of
     * zero.
     */
    private Map<String, Integer> receivers()
    {
        Map<String, Integer> counts = new TreeMap<>();
        counts.put(self.id(), 0);
        Map<String, BoxStatus> statuses = peers.reachableStatuses();
        Set<String> mapMembers = assignmentMaps.map().map(m -> m.boxes().keySet()).orElse(Set.of());
        statuses.forEach((box, status) ->
        {
            if (!status.getLeaving() && mapMembers.contains(box))
            {
                counts.put(box, 0);
            }
        });
        return counts;
    }

    /**
     * Hands over the key records of slots without running requests. The other slots follow in a later
     * round.
     */
    private Map<Integer, String> handOverIdleSlots(AssignmentMap map, Map<Integer, String> transfers)
            throws InterruptedException
    {
        List<Integer> idle = keyTable.idleSlots(transfers.keySet());
        Map<String, List<Integer>> byReceiver = new HashMap<>();
        idle.forEach(
                slot -> byReceiver.computeIfAbsent(transfers.get(slot), r -> new ArrayList<>()).add(slot));
        Map<Integer, String> handedOver = new LinkedHashMap<>();
        for (Map.Entry<String, List<Integer>> receiver : byReceiver.entrySet())
        {
            try
            {
                replicator.handOver(map.boxes().get(receiver.getKey()), receiver.getValue(), map.epoch());
                receiver.getValue().forEach(slot -> handedOver.put(slot, receiver.getKey()));
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.PEER_LOST, receiver.getKey(), e.getMessage());
            }
        }
        return handedOver;
    }

    private void changeMap(AssignmentMaps.Versioned current, Map<String, String> workerTransfers,
            Map<Integer, String> slotTransfers) throws InterruptedException
    {
        try
        {
            AssignmentMap next = MapPlanner.afterTransfer(current.map(), workerTransfers, slotTransfers);
            if (mapStore.change(current.revision(), next, MapStore.noBoxes()) && !slotTransfers.isEmpty())
            {
                events.record(EventType.SLOTS_HANDED_OVER, self.id(), slotTransfers.entrySet().stream()
                        .map(e -> e.getKey() + ">" + e.getValue()).collect(Collectors.joining(" ")));
            }
        }
        catch (GaugehollowException e)
        {
            changePending = true;
            throw e;
        }
        resumeRemaining();
    }

    /**
     * Settles a change of the map with an unknown outcome. The change may still take effect, so nothing
     * that it transfers is used until the map has a newer revision.
     */
    private void settlePendingChange() throws InterruptedException
    {
        Optional<AssignmentMaps.Versioned> current = assignmentMaps.versioned();
        if (current.isPresent())
        {
            AssignmentMap map = current.get().map();
            mapStore.change(current.get().revision(), MapPlanner.afterTransfer(map, Map.of(), Map.of()),
                    MapStore.noBoxes());
        }
        changePending = false;
        resumeRemaining();
    }

    private void resumeRemaining()
    {
        upstreams.uncordonAll();
        keyTable.setMoving(keyTable.ownedSlots(), false);
    }
}
