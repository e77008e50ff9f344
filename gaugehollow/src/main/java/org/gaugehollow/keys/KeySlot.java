/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gaugehollow.peer.generated.PeerProtocol.KeyRecord;
import org.gaugehollow.peer.generated.PeerProtocol.SlotEvidence;

/** The records of one key slot, on its owner or as a copy. Not thread-safe: its table guards it. */
final class KeySlot
{
    private final int number;
    private final long completeSince;
    private final Map<String, KeyEntry> entries = new HashMap<>();
    private boolean moving;

    /**
     * completeSince: every key noted since then is here; 0 says that there never was an earlier one.
     */
    KeySlot(int number, long completeSince)
    {
        this.number = number;
        this.completeSince = completeSince;
    }

    static KeySlot of(SlotEvidence evidence)
    {
        KeySlot slot = new KeySlot(evidence.getSlot(), evidence.getCompleteSince());
        evidence.getRecordsList().forEach(slot::apply);
        return slot;
    }

    SlotEvidence toEvidence()
    {
        SlotEvidence.Builder evidence = SlotEvidence.newBuilder().setSlot(number)
                .setCompleteSince(completeSince);
        entries.values().forEach(entry -> evidence.addRecords(entry.toRecord()));
        return evidence.build();
    }

    /** Takes over a record that was copied here. */
    void apply(KeyRecord record)
    {
        String name = KeyEntry.nameOf(record.getTeam(), record.getKey());
        KeyEntry held = entries.get(name);
        boolean sameRun = held != null && held.task().equals(record.getTask());
        if (record.getState() == KeyEntry.FORGET)
        {
            if (sameRun)
            {
                entries.remove(name);
            }
            return;
        }
        if (!sameRun)
        {
            held = KeyEntry.of(record);
            entries.put(name, held);
        }
        if (record.getState() == KeyEntry.ENDED)
        {
            held.answer().complete(record.getAnswer());
        }
    }

    /** The same slot, known to be complete only from a later time on. */
    KeySlot completeOnlySince(long since)
    {
        KeySlot slot = new KeySlot(number, since);
        slot.entries.putAll(entries);
        return slot;
    }

    long completeSince()
    {
        return completeSince;
    }

    Map<String, KeyEntry> entries()
    {
        return entries;
    }

    boolean moving()
    {
        return moving;
    }

    void setMoving(boolean value)
    {
        moving = value;
    }

    boolean hasRunning()
    {
        return entries.values().stream().anyMatch(entry -> !entry.answer().isDone());
    }

    int forgetBefore(long time)
    {
        List<KeyEntry> old = new ArrayList<>();
        for (KeyEntry entry : entries.values())
        {
            if (entry.notedAt() < time && entry.answer().isDone())
            {
                old.add(entry);
            }
        }
        old.forEach(entry -> entries.remove(entry.name()));
        return old.size();
    }
}
