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
 * Applies assignment maps to the key table: adds gained slots with their records and removes lost
 * ones.
 */
public final class KeyOwnership
{
    private final String self;
    private final KeyTable table;
    private final ReplicaTable replicas;
    private final KeyReplicator replicator;
    private final LongSupplier wallMillis;
    private final EventLog events;

    /**
     * @param self the id of this box
     * @param table the key table of this box
     * @param replicas the replicas held for other boxes
     * @param replicator notified when the owned slots change
     * @param wallMillis the wall clock in milliseconds since 1970
     * @param events the event log for gained slots
     */
    public KeyOwnership(String self, KeyTable table, ReplicaTable replicas, KeyReplicator replicator,
            LongSupplier wallMillis, EventLog events)
    {
        this.self = self;
        this.table = table;
        this.replicas = replicas;
        this.replicator = replicator;
        this.wallMillis = wallMillis;
        this.events = events;
    }

    /**
     * Applies a newer assignment map.
     *
     * @param next the new map
     */
    public synchronized void applyMap(AssignmentMap next)
    {
        Optional<AssignmentMap> previous = replicas.applyMap(next);
        List<Integer> assigned = next.slotsOf(self);
        List<Integer> lost = table.ownedSlots().stream().filter(slot -> !assigned.contains(slot)).toList();
        List<Integer> gained = assigned.stream().filter(slot -> !table.ownedSlots().contains(slot)).toList();
        lost.forEach(table::removeSlot);
        List<Integer> incomplete = gained.stream().filter(slot -> !acquireSlot(slot, previous, next))
                .toList();
        if (!lost.isEmpty() || !gained.isEmpty())
        {
            replicator.requireFullSync();
        }
        recordEvents(gained, incomplete, next.epoch());
        previous.ifPresent(map -> map.boxes().keySet().stream().filter(box -> !next.boxes().containsKey(box))
                .forEach(replicas::removeOwner));
    }

    private void recordEvents(List<Integer> gained, List<Integer> incomplete, long epoch)
    {
        if (gained.size() > incomplete.size())
        {
            events.record(EventType.SLOTS_TAKEN, self,
                    gained.size() - incomplete.size() + " slots at epoch " + epoch);
        }
        if (!incomplete.isEmpty())
        {
            events.record(EventType.EVIDENCE_MISSING, self, "slots " + incomplete + " at epoch " + epoch);
        }
    }

    /** Adds a slot to the table and returns whether its records are known to be complete. */
    private boolean acquireSlot(int number, Optional<AssignmentMap> previous, AssignmentMap next)
    {
        long ownedSince = next.slotOwners().get(number).epoch();
        String owner = previous.map(map -> map.slotOwners().get(number).box()).orElse("");
        boolean ownerRemoved = !next.boxes().containsKey(owner);
        Optional<KeySlot> complete = ownedSince == 1
                ? Optional.of(new KeySlot(number, 0))
                : replicas.takeComplete(number, owner, ownerRemoved, ownedSince);
        KeySlot acquired = complete.orElseGet(() -> new KeySlot(number, wallMillis.getAsLong()));
        closeUnfinished(acquired);
        table.addSlot(number, acquired);
        return complete.isPresent();
    }

    /**
     * Completes requests that the lost owner started but did not report, since their outcome cannot be
     * determined.
     */
    private static void closeUnfinished(KeySlot slot)
    {
        Answer unknown = Answer.newBuilder().setCode(ResultCode.OUTCOME_UNKNOWN.number())
                .setStatus(ResultCode.OUTCOME_UNKNOWN.httpStatus())
                .setMessage("the box that started the request was lost before it received the answer")
                .build();
        for (KeyEntry entry : new ArrayList<>(slot.entries().values()))
        {
            entry.answer().complete(unknown);
        }
    }
}
