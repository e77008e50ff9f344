/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;

/**
 * Makes the key table follow the hall's map: takes slots with their evidence and drops those given
 * away.
 */
public final class KeyOwnership
{
    private final String self;
    private final KeyTable table;
    private final ReplicaTable replicas;
    private final KeyReplicator copier;
    private final LongSupplier wallMillis;
    private final EventLog events;

    /**
     * @param self this box's id
     * @param table this box's records
     * @param replicas the copies it keeps
     * @param copier told when the slots change
     * @param wallMillis the wall clock
     * @param events where taken slots are recorded
     */
    public KeyOwnership(String self, KeyTable table, ReplicaTable replicas, KeyReplicator copier,
            LongSupplier wallMillis, EventLog events)
    {
        this.self = self;
        this.table = table;
        this.replicas = replicas;
        this.copier = copier;
        this.wallMillis = wallMillis;
        this.events = events;
    }

    /**
     * Follows a newer map.
     *
     * @param next the map now in force
     */
    public synchronized void applyMap(AssignmentMap next)
    {
        Optional<AssignmentMap> before = replicas.applyMap(next);
        List<Integer> mine = next.slotsOf(self);
        List<Integer> lost = table.owned().stream().filter(slot -> !mine.contains(slot)).toList();
        List<Integer> gained = mine.stream().filter(slot -> !table.owned().contains(slot)).toList();
        lost.forEach(table::drop);
        List<Integer> doubtful = gained.stream().filter(slot -> !take(slot, before, next)).toList();
        if (!lost.isEmpty() || !gained.isEmpty())
        {
            copier.slotsChanged();
        }
        report(gained, doubtful, next.epoch());
        before.ifPresent(map -> map.boxes().keySet().stream().filter(box -> !next.boxes().containsKey(box))
                .forEach(replicas::forgetOwner));
    }

    private void report(List<Integer> gained, List<Integer> doubtful, long epoch)
    {
        if (gained.size() > doubtful.size())
        {
            events.record(EventType.SLOTS_TAKEN, self,
                    gained.size() - doubtful.size() + " slots at epoch " + epoch);
        }
        if (!doubtful.isEmpty())
        {
            events.record(EventType.EVIDENCE_MISSING, self, "slots " + doubtful + " at epoch " + epoch);
        }
    }

    /** Returns whether all that was ever noted in the slot is known. */
    private boolean take(int slot, Optional<AssignmentMap> before, AssignmentMap next)
    {
        long since = next.slotOwners().get(slot).epoch();
        String owner = before.map(map -> map.slotOwners().get(slot).box()).orElse("");
        boolean ownerGone = !next.boxes().containsKey(owner);
        Optional<KeySlot> evidence = since == 1
                ? Optional.of(new KeySlot(slot, 0))
                : replicas.evidenceOf(slot, owner, ownerGone, since);
        KeySlot taken = evidence.orElseGet(() -> new KeySlot(slot, wallMillis.getAsLong()));
        closeOrphans(taken);
        table.take(slot, taken);
        return evidence.isPresent();
    }

    /** Runs that the lost owner had begun and not reported: their outcome will never be known here. */
    private static void closeOrphans(KeySlot slot)
    {
        Answer unknown = Answer.newBuilder().setCode(ResultCode.OUTCOME_UNKNOWN.number())
                .setStatus(ResultCode.OUTCOME_UNKNOWN.httpStatus())
                .setMessage("the box that had begun the request was lost before it had the answer").build();
        for (KeyEntry entry : new ArrayList<>(slot.entries().values()))
        {
            entry.answer().complete(unknown);
        }
    }
}
