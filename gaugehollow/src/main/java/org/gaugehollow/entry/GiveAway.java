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
 * Gives workers and key slots to boxes that have fewer, or everything when this box leaves. Only
 * the owner itself gives: it stops using what it gives, hands the keys' records over, and then
 * changes the map.
 */
final class GiveAway implements SupervisedTask
{
    private static final long PERIOD_MILLIS = 1_000;
    private static final long LEAVING_PERIOD_MILLIS = 100;

    private final BoxIdentity self;
    private final AssignmentMaps halls;
    private final Rights rights;
    private final PeerMonitor peers;
    private final MapStore mapStore;
    private final WorkerKeeper workers;
    private final KeyTable keys;
    private final KeyReplicator copier;
    private final EventLog events;
    private boolean unsettled;
    private volatile boolean leaving;

    GiveAway(RequestSupport support, MapStore mapStore, WorkerKeeper workers, KeyTable keys,
            KeyReplicator copier)
    {
        this.self = support.self();
        this.halls = support.halls();
        this.rights = support.rights();
        this.peers = support.peers();
        this.events = support.events();
        this.mapStore = mapStore;
        this.workers = workers;
        this.keys = keys;
        this.copier = copier;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            Thread.sleep(leaving ? LEAVING_PERIOD_MILLIS : PERIOD_MILLIS);
            giveOnce();
        }
    }

    /** From now on everything is given away. */
    void leave()
    {
        leaving = true;
    }

    /** @return whether the map has nothing left that belongs to this box */
    boolean nothingLeft()
    {
        return halls.map().map(map -> map.workersOf(self.id()).isEmpty() && map.slotsOf(self.id()).isEmpty())
                .orElse(true);
    }

    private void giveOnce() throws InterruptedException
    {
        Optional<AssignmentMaps.Versioned> known = halls.versioned();
        boolean mayGive = known.isPresent() && rights.isValid()
                && known.get().map().boxes().containsKey(self.id());
        if (!mayGive)
        {
            return;
        }
        try
        {
            if (unsettled)
            {
                settle();
            }
            else
            {
                give(known.get());
            }
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.TAKEOVER_WAITS, self.id(), "giving away waits: " + e.getMessage());
        }
    }

    private void give(AssignmentMaps.Versioned known) throws InterruptedException
    {
        AssignmentMap map = known.map();
        Map<String, Integer> workerCounts = receivers();
        Map<String, Integer> slotCounts = new TreeMap<>(workerCounts);
        workerCounts.replaceAll((box, zero) -> map.workersOf(box).size());
        slotCounts.replaceAll((box, zero) -> map.slotsOf(box).size());
        Map<String, String> workerGifts = MapPlanner.surplus(workerCounts, self.id(), leaving,
                map.workersOf(self.id()));
        Map<Integer, String> slotGifts = MapPlanner.surplus(slotCounts, self.id(), leaving,
                map.slotsOf(self.id()));
        if (workerGifts.isEmpty() && slotGifts.isEmpty())
        {
            return;
        }
        workers.withhold(workerGifts.keySet());
        keys.setMoving(slotGifts.keySet(), true);
        Map<Integer, String> handedOver = handOver(map, slotGifts);
        changeMap(known, workerGifts, handedOver);
    }

    /** The boxes that may receive, this one included, each with a count of zero. */
    private Map<String, Integer> receivers()
    {
        Map<String, Integer> counts = new TreeMap<>();
        counts.put(self.id(), 0);
        Map<String, BoxStatus> statuses = peers.reachableStatuses();
        Set<String> inMap = halls.map().map(m -> m.boxes().keySet()).orElse(Set.of());
        statuses.forEach((box, status) ->
        {
            if (!status.getLeaving() && inMap.contains(box))
            {
                counts.put(box, 0);
            }
        });
        return counts;
    }

    /** Hands over the slots in which nothing runs; the others follow in a later round. */
    private Map<Integer, String> handOver(AssignmentMap map, Map<Integer, String> gifts)
            throws InterruptedException
    {
        List<Integer> idle = keys.idleSlots(gifts.keySet());
        Map<String, List<Integer>> byReceiver = new HashMap<>();
        idle.forEach(slot -> byReceiver.computeIfAbsent(gifts.get(slot), r -> new ArrayList<>()).add(slot));
        Map<Integer, String> handedOver = new LinkedHashMap<>();
        for (Map.Entry<String, List<Integer>> each : byReceiver.entrySet())
        {
            try
            {
                copier.handOver(map.boxes().get(each.getKey()), each.getValue(), map.epoch());
                each.getValue().forEach(slot -> handedOver.put(slot, each.getKey()));
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.PEER_LOST, each.getKey(), e.getMessage());
            }
        }
        return handedOver;
    }

    private void changeMap(AssignmentMaps.Versioned known, Map<String, String> workerGifts,
            Map<Integer, String> slotGifts) throws InterruptedException
    {
        try
        {
            AssignmentMap next = MapPlanner.afterTransfer(known.map(), workerGifts, slotGifts);
            if (mapStore.change(known.revision(), next, MapStore.noBoxes()) && !slotGifts.isEmpty())
            {
                events.record(EventType.SLOTS_HANDED_OVER, self.id(), slotGifts.entrySet().stream()
                        .map(e -> e.getKey() + ">" + e.getValue()).collect(Collectors.joining(" ")));
            }
        }
        catch (GaugehollowException e)
        {
            unsettled = true;
            throw e;
        }
        useWhatIsLeft();
    }

    /**
     * A change whose answer was lost may still take effect, so nothing that it gives away is used until
     * the map has moved past the revision that it started from.
     */
    private void settle() throws InterruptedException
    {
        Optional<AssignmentMaps.Versioned> known = halls.versioned();
        if (known.isPresent())
        {
            AssignmentMap map = known.get().map();
            mapStore.change(known.get().revision(), MapPlanner.afterTransfer(map, Map.of(), Map.of()),
                    MapStore.noBoxes());
        }
        unsettled = false;
        useWhatIsLeft();
    }

    private void useWhatIsLeft()
    {
        workers.releaseWithheld();
        keys.setMoving(keys.owned(), false);
    }
}
