/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.KeySlots;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.peer.generated.PeerProtocol.SlotEvidence;

/**
 * Holds the key slots that this box owns with the records of recently used idempotency keys.
 * Thread-safe.
 */
public final class KeyTable
{
    /**
     * The result of a registration.
     *
     * @param entry the record of the key
     * @param first whether this registration created the record, so that the caller must run the
     *            request
     */
    public record Registration(KeyEntry entry, boolean first)
    {
    }

    private final KeyLimits limits;
    private final LongSupplier wallMillis;
    private final Map<Integer, KeySlot> slots = new HashMap<>();
    private int records;

    /**
     * @param limits the limits of the records
     * @param wallMillis the wall clock in milliseconds since 1970
     */
    public KeyTable(KeyLimits limits, LongSupplier wallMillis)
    {
        this.limits = limits;
        this.wallMillis = wallMillis;
    }

    /**
     * Creates the record of a key, or joins the existing one.
     *
     * @param team the team of the caller
     * @param key the idempotency key
     * @param workload the requested workload
     * @param issuedAt the time at which the caller issued the key, in milliseconds since 1970, or 0 if
     *            unknown
     * @param task the task id to use if the request must run
     * @return the record, and whether the caller must run the request
     * @throws GaugehollowException if the key may have been used before without a record of it, if it
     *             was used for another workload, if the slot is not available here or if the table is
     *             full
     */
    public synchronized Registration register(String team, String key, String workload, long issuedAt,
            String task)
    {
        int slotNumber = KeySlots.slotOf(team, key);
        KeySlot slot = slots.get(slotNumber);
        if (slot == null)
        {
            throw new GaugehollowException(ResultCode.KEY_MOVING,
                    "the slot of the key is not owned by this box");
        }
        KeyEntry existing = slot.entries().get(KeyEntry.nameOf(team, key));
        if (existing != null)
        {
            if (!existing.workload().equals(workload))
            {
                throw new GaugehollowException(ResultCode.KEY_CONFLICT,
                        "the key was already used for workload " + existing.workload());
            }
            return new Registration(existing, false);
        }
        if (slot.isMoving())
        {
            throw new GaugehollowException(ResultCode.KEY_MOVING, "the slot of the key is being handed over");
        }
        checkNotRunBefore(slot, issuedAt);
        if (records >= limits.maxRecords())
        {
            throw new GaugehollowException(ResultCode.QUEUE_FULL,
                    "the maximum number of key records is reached");
        }
        KeyEntry entry = new KeyEntry(team, key, workload, task, slotNumber, wallMillis.getAsLong());
        slot.entries().put(entry.name(), entry);
        records++;
        return new Registration(entry, true);
    }

    /**
     * Checks that no record of the key can have been lost or evicted, so that a key without record is
     * new.
     */
    private void checkNotRunBefore(KeySlot slot, long issuedAt)
    {
        long now = wallMillis.getAsLong();
        if (issuedAt > now + limits.maxSkewMillis())
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST,
                    "the issue time of the key is in the future");
        }
        boolean lost = slot.completeSince() > 0 && issuedAt < slot.completeSince() + limits.maxSkewMillis();
        boolean evicted = issuedAt > 0 && issuedAt < now - limits.retentionMillis() + limits.maxSkewMillis();
        if (lost || evicted)
        {
            throw new GaugehollowException(ResultCode.EVIDENCE_LOST,
                    lost
                            ? "the boxes that held the record of the key were lost"
                            : "the key is older than the retention time of its record");
        }
    }

    /**
     * Records the answer of a run, whether or not it succeeded.
     *
     * @param entry the record
     * @param answer the answer
     */
    public synchronized void recordAnswer(KeyEntry entry, Answer answer)
    {
        entry.answer().complete(answer);
    }

    /**
     * Removes the record of a request that was certainly not run, so that a later registration may run
     * it.
     *
     * @param entry the record
     * @param answer the error answer for callers that joined the registration
     */
    public synchronized void recordNotRun(KeyEntry entry, Answer answer)
    {
        KeySlot slot = slots.get(entry.slot());
        if (slot != null && slot.entries().remove(entry.name(), entry))
        {
            records--;
        }
        entry.answer().complete(answer);
    }

    /** @return the numbers of the owned slots */
    public synchronized Set<Integer> ownedSlots()
    {
        return Set.copyOf(slots.keySet());
    }

    /**
     * @param number a slot number
     * @return whether the slot is owned and accepts new keys
     */
    public synchronized boolean isReady(int number)
    {
        KeySlot slot = slots.get(number);
        return slot != null && !slot.isMoving();
    }

    /**
     * @param number the number of a slot that this box now owns
     * @param slot the slot with its known records
     */
    synchronized void addSlot(int number, KeySlot slot)
    {
        slots.put(number, slot);
        records += slot.entries().size();
    }

    /** @param number the number of a slot that this box no longer owns */
    synchronized void removeSlot(int number)
    {
        KeySlot slot = slots.remove(number);
        records -= slot == null ? 0 : slot.entries().size();
    }

    /**
     * Stops or resumes the registration of new keys in slots.
     *
     * @param numbers the slot numbers
     * @param moving whether the slots are being handed over
     */
    public synchronized void setMoving(Collection<Integer> numbers, boolean moving)
    {
        numbers.stream().filter(slots::containsKey).forEach(number -> slots.get(number).setMoving(moving));
    }

    /**
     * @param numbers the numbers of owned slots
     * @return the slots without running requests
     */
    public synchronized List<Integer> idleSlots(Collection<Integer> numbers)
    {
        return numbers.stream().filter(n -> slots.containsKey(n) && !slots.get(n).hasUnfinishedRequests())
                .toList();
    }

    /**
     * @param numbers the numbers of owned slots
     * @return the slots with their records as messages
     */
    public synchronized List<SlotEvidence> exportSlots(Collection<Integer> numbers)
    {
        List<SlotEvidence> exported = new ArrayList<>();
        for (int number : numbers)
        {
            KeySlot slot = slots.get(number);
            if (slot != null)
            {
                exported.add(slot.toMessage());
            }
        }
        return exported;
    }

    /** Evicts ended records that are older than the retention time. */
    public synchronized void evictExpired()
    {
        long before = wallMillis.getAsLong() - limits.retentionMillis();
        slots.values().forEach(slot -> records -= slot.evictBefore(before));
    }

    /** @return the number of records */
    public synchronized int recordCount()
    {
        return records;
    }
}
