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

/** The key slots that this box owns, with the record of every key asked lately. Thread-safe. */
public final class KeyTable
{
    /**
     * The result of asking for a key.
     *
     * @param entry the key's record
     * @param first whether this ask made it, and so has to run the request
     */
    public record Registration(KeyEntry entry, boolean first)
    {
    }

    private final KeyLimits limits;
    private final LongSupplier wallMillis;
    private final Map<Integer, KeySlot> slots = new HashMap<>();
    private int records;

    /**
     * @param limits how long and how much is remembered
     * @param wallMillis the wall clock
     */
    public KeyTable(KeyLimits limits, LongSupplier wallMillis)
    {
        this.limits = limits;
        this.wallMillis = wallMillis;
    }

    /**
     * Asks for a key: the first ask makes its record, later ones get the same one.
     *
     * @param team the caller's team
     * @param key the key
     * @param workload the workload asked for
     * @param issuedAt when the caller made the key, in milliseconds since 1970; 0 where it did not say
     * @param task the task id for a first run
     * @return the record, and whether this ask has to run the request
     * @throws GaugehollowException if the key may have run before and nothing is known of it, or if the
     *             slot is not here
     */
    public synchronized Registration register(String team, String key, String workload, long issuedAt,
            String task)
    {
        int number = KeySlots.slotOf(team, key);
        KeySlot slot = slots.get(number);
        if (slot == null)
        {
            throw new GaugehollowException(ResultCode.KEY_MOVING, "the key's range is not here");
        }
        KeyEntry held = slot.entries().get(KeyEntry.nameOf(team, key));
        if (held != null)
        {
            if (!held.workload().equals(workload))
            {
                throw new GaugehollowException(ResultCode.KEY_CONFLICT,
                        "the key was used for " + held.workload());
            }
            return new Registration(held, false);
        }
        if (slot.moving())
        {
            throw new GaugehollowException(ResultCode.KEY_MOVING, "the key's range is changing owner");
        }
        checkNeverRan(slot, issuedAt);
        if (records >= limits.maxRecords())
        {
            throw new GaugehollowException(ResultCode.QUEUE_FULL,
                    "the box keeps as many key records as it may");
        }
        KeyEntry entry = new KeyEntry(team, key, workload, task, number, wallMillis.getAsLong());
        slot.entries().put(entry.name(), entry);
        records++;
        return new Registration(entry, true);
    }

    /** A key without a record is new only if its record could not have been lost or forgotten. */
    private void checkNeverRan(KeySlot slot, long issuedAt)
    {
        long now = wallMillis.getAsLong();
        if (issuedAt > now + limits.skewMillis())
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST, "the key's time lies in the future");
        }
        boolean lost = slot.completeSince() > 0 && issuedAt < slot.completeSince() + limits.skewMillis();
        boolean forgotten = issuedAt > 0 && issuedAt < now - limits.recordMillis() + limits.skewMillis();
        if (lost || forgotten)
        {
            throw new GaugehollowException(ResultCode.EVIDENCE_LOST,
                    lost
                            ? "the boxes that would know whether the key ran were lost"
                            : "the key is older than its record");
        }
    }

    /**
     * A run ended with an answer, whatever it says; the record keeps it.
     *
     * @param entry the record
     * @param answer the answer
     */
    public synchronized void recordAnswer(KeyEntry entry, Answer answer)
    {
        entry.answer().complete(answer);
    }

    /**
     * The request was surely not run; the record goes, so that a later ask may run it.
     *
     * @param entry the record
     * @param answer the refusal, for those who joined the ask
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

    /** @return the numbers of the slots held here */
    public synchronized Set<Integer> owned()
    {
        return Set.copyOf(slots.keySet());
    }

    /**
     * @param slot a slot held here
     * @return whether it is held and may take new keys
     */
    public synchronized boolean isReady(int slot)
    {
        KeySlot held = slots.get(slot);
        return held != null && !held.moving();
    }

    /**
     * @param slot a slot that is now this box's, with what is known of it
     */
    synchronized void take(int number, KeySlot slot)
    {
        slots.put(number, slot);
        records += slot.entries().size();
    }

    /**
     * @param number a slot that is no longer this box's
     */
    synchronized void drop(int number)
    {
        KeySlot slot = slots.remove(number);
        records -= slot == null ? 0 : slot.entries().size();
    }

    /**
     * Stops or resumes new keys for slots.
     *
     * @param numbers the slots
     * @param moving whether they are being handed over
     */
    public synchronized void setMoving(Collection<Integer> numbers, boolean moving)
    {
        numbers.stream().filter(slots::containsKey).forEach(number -> slots.get(number).setMoving(moving));
    }

    /**
     * @param numbers slots held here
     * @return those of them in which no request runs
     */
    public synchronized List<Integer> idleSlots(Collection<Integer> numbers)
    {
        return numbers.stream().filter(n -> slots.containsKey(n) && !slots.get(n).hasRunning()).toList();
    }

    /**
     * @param numbers slots held here
     * @return all that is known of them
     */
    public synchronized List<SlotEvidence> exportSlots(Collection<Integer> numbers)
    {
        List<SlotEvidence> evidence = new ArrayList<>();
        for (int number : numbers)
        {
            KeySlot slot = slots.get(number);
            if (slot != null)
            {
                evidence.add(slot.toEvidence());
            }
        }
        return evidence;
    }

    /** Forgets ended records that are older than they are kept. */
    public synchronized void evictExpired()
    {
        long before = wallMillis.getAsLong() - limits.recordMillis();
        slots.values().forEach(slot -> records -= slot.forgetBefore(before));
    }

    /** @return how many records are kept */
    public synchronized int recordCount()
    {
        return records;
    }
}
