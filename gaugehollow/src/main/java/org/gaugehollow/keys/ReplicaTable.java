/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.peer.generated.PeerProtocol.CopyCall;
import org.gaugehollow.peer.generated.PeerProtocol.KeyRecord;
import org.gaugehollow.peer.generated.PeerProtocol.SlotEvidence;

/**
 * Holds replicas of other boxes' key records: those of the box that this one succeeds, and of slots
 * that are being handed over. A replica counts as complete only while this box was certainly the
 * successor of its owner. Thread-safe.
 */
public final class ReplicaTable
{
    /**
     * A slot handed over by its owner, and the epoch of the map that the change of owner is based on.
     */
    private record HandOver(long epoch, KeySlot slot)
    {
    }

    private final String self;
    private final Map<String, Map<Integer, KeySlot>> slotsByOwner = new HashMap<>();
    private final Map<Integer, HandOver> handOvers = new HashMap<>();
    private AssignmentMap map;

    /** @param self the id of this box */
    public ReplicaTable(String self)
    {
        this.self = self;
    }

    /**
     * Applies a replication call.
     *
     * @param call the call of the owner
     * @return whether the records were stored; if not, the owner must not rely on this replica
     */
    public synchronized boolean applyCopy(CopyCall call)
    {
        if (call.getHandOver())
        {
            for (SlotEvidence message : call.getFullList())
            {
                handOvers.put(message.getSlot(),
                        new HandOver(call.getMapEpoch(), KeySlot.fromMessage(message)));
            }
            return true;
        }
        boolean isSuccessor = map != null
                && map.successorOf(call.getOwner()).filter(self::equals).isPresent();
        if (!isSuccessor)
        {
            return false;
        }
        if (call.getFullCount() > 0)
        {
            Map<Integer, KeySlot> full = new HashMap<>();
            call.getFullList().forEach(message -> full.put(message.getSlot(), KeySlot.fromMessage(message)));
            slotsByOwner.put(call.getOwner(), full);
        }
        return applyRecords(call.getOwner(), call.getRecordsList());
    }

    private boolean applyRecords(String owner, List<KeyRecord> records)
    {
        Map<Integer, KeySlot> slots = slotsByOwner.get(owner);
        if (slots == null)
        {
            return false;
        }
        for (KeyRecord record : records)
        {
            KeySlot slot = slots.get(record.getSlot());
            if (slot == null)
            {
                return false;
            }
            slot.apply(record);
        }
        return true;
    }

    /**
     * Applies a newer assignment map. Drops replicas of owners that this box no longer succeeds, and
     * all replicas if a map was missed, since another box may have been the successor in between.
     *
     * @param next the new map
     * @return the previous map if the new one directly follows it, otherwise empty
     */
    public synchronized Optional<AssignmentMap> applyMap(AssignmentMap next)
    {
        AssignmentMap previous = map;
        map = next;
        boolean consecutive = previous != null && next.epoch() == previous.epoch() + 1;
        if (!consecutive)
        {
            slotsByOwner.clear();
        }
        slotsByOwner.keySet().removeIf(owner -> next.boxes().containsKey(owner)
                && next.successorOf(owner).filter(self::equals).isEmpty());
        return consecutive ? Optional.of(previous) : Optional.empty();
    }

    /**
     * Returns the complete records of a slot that was just assigned to this box. A hand-over is
     * consumed.
     *
     * @param number the slot number
     * @param owner the previous owner
     * @param ownerRemoved whether the same map change removed the previous owner
     * @param ownedSince the epoch since which this box owns the slot
     * @return the slot with its records, or empty if they are not known to be complete
     */
    synchronized Optional<KeySlot> takeComplete(int number, String owner, boolean ownerRemoved,
            long ownedSince)
    {
        HandOver handOver = handOvers.remove(number);
        if (handOver != null && handOver.epoch + 1 == ownedSince)
        {
            return Optional.of(handOver.slot);
        }
        Map<Integer, KeySlot> replicas = slotsByOwner.get(owner);
        return ownerRemoved && replicas != null
                ? Optional.ofNullable(replicas.get(number))
                : Optional.empty();
    }

    /** @param owner the id of a removed box whose slots were reassigned */
    synchronized void removeOwner(String owner)
    {
        slotsByOwner.remove(owner);
    }

    /**
     * Evicts ended records registered before the given time.
     *
     * @param before the time in milliseconds since 1970
     */
    public synchronized void evictExpired(long before)
    {
        slotsByOwner.values().forEach(slots -> slots.values().forEach(slot -> slot.evictBefore(before)));
    }
}
