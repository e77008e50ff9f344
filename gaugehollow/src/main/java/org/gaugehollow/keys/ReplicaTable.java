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
 * Copies of other boxes' key records: of the box that this one succeeds, kept up to date by it, and
 * of slots that a box is handing over. A copy counts as complete only while this box surely was the
 * one that the owner copied to. Thread-safe.
 */
public final class ReplicaTable
{
    /** A slot that its owner handed over, and the map's epoch that the change of owner starts from. */
    private record HandOver(long epoch, KeySlot slot)
    {
    }

    private final String self;
    private final Map<String, Map<Integer, KeySlot>> byOwner = new HashMap<>();
    private final Map<Integer, HandOver> handedOver = new HashMap<>();
    private AssignmentMap map;

    /**
     * @param self this box's id
     */
    public ReplicaTable(String self)
    {
        this.self = self;
    }

    /**
     * Takes copies from their owner.
     *
     * @param call the owner's call
     * @return whether they are kept; if not, the owner must not rely on them
     */
    public synchronized boolean applyCopy(CopyCall call)
    {
        if (call.getHandOver())
        {
            for (SlotEvidence evidence : call.getFullList())
            {
                handedOver.put(evidence.getSlot(), new HandOver(call.getMapEpoch(), KeySlot.of(evidence)));
            }
            return true;
        }
        boolean successor = map != null && map.successorOf(call.getOwner()).filter(self::equals).isPresent();
        if (!successor)
        {
            return false;
        }
        if (call.getFullCount() > 0)
        {
            Map<Integer, KeySlot> full = new HashMap<>();
            call.getFullList().forEach(evidence -> full.put(evidence.getSlot(), KeySlot.of(evidence)));
            byOwner.put(call.getOwner(), full);
        }
        return applyRecords(call.getOwner(), call.getRecordsList());
    }

    private boolean applyRecords(String owner, List<KeyRecord> records)
    {
        Map<Integer, KeySlot> slots = byOwner.get(owner);
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
     * Follows the map. Copies of owners that this box no longer succeeds are dropped; all of them if a
     * map was missed, since in between another box may have kept the copies.
     *
     * @param next the map now in force
     * @return the map before it, if it was the one directly before
     */
    public synchronized Optional<AssignmentMap> applyMap(AssignmentMap next)
    {
        AssignmentMap before = map;
        map = next;
        boolean direct = before != null && next.epoch() == before.epoch() + 1;
        if (!direct)
        {
            byOwner.clear();
        }
        byOwner.keySet().removeIf(owner -> next.boxes().containsKey(owner)
                && next.successorOf(owner).filter(self::equals).isEmpty());
        return direct ? Optional.of(before) : Optional.empty();
    }

    /**
     * What is known of a slot that the map has just given to this box.
     *
     * @param number the slot
     * @param owner the owner before
     * @param ownerGone whether the owner left the map with this change
     * @param since the epoch since which this box is the slot's owner
     * @return the complete evidence, if it is here
     */
    synchronized Optional<KeySlot> evidenceOf(int number, String owner, boolean ownerGone, long since)
    {
        HandOver given = handedOver.remove(number);
        if (given != null && given.epoch + 1 == since)
        {
            return Optional.of(given.slot);
        }
        Map<Integer, KeySlot> copies = byOwner.get(owner);
        return ownerGone && copies != null ? Optional.ofNullable(copies.get(number)) : Optional.empty();
    }

    /**
     * @param owner a box that is gone and whose slots were taken
     */
    synchronized void forgetOwner(String owner)
    {
        byOwner.remove(owner);
    }

    /**
     * Forgets ended records that are older than they are kept.
     *
     * @param before the time, in milliseconds since 1970
     */
    public synchronized void evictExpired(long before)
    {
        byOwner.values().forEach(slots -> slots.values().forEach(slot -> slot.forgetBefore(before)));
    }
}
