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

/**
 * The records of a key slot, held by its owner or as a replica. Not thread-safe; guarded by the
 * enclosing table.
 */
final class KeySlot
{
    private final int number;
    private final long completeSince;
    private final Map<String, KeyEntry> entries = new HashMap<>();
    private boolean moving;

    /**
     * @param number the slot number
     * @param completeSince the time since which all registered keys are known, in milliseconds since
     *            1970, or 0 if all keys ever registered are known
     */
    KeySlot(int number, long completeSince)
    {
        this.number = number;
        this.completeSince = completeSince;
    }

    static KeySlot fromMessage(SlotEvidence message)
    {
        KeySlot slot = new KeySlot(message.getSlot(), message.getCompleteSince());
        message.getRecordsList().forEach(slot::apply);
        return slot;
    }

    SlotEvidence toMessage()
    {
        SlotEvidence.Builder message = SlotEvidence.newBuilder().setSlot(number)
                .setCompleteSince(completeSince);
        entries.values().forEach(entry -> message.addRecords(entry.toRecord()));
        return message.build();
    }

    /** Applies a replicated record. */
    void apply(KeyRecord record)
    {
        String name = KeyEntry.nameOf(record.getTeam(), record.getKey());
        KeyEntry existing = entries.get(name);
        boolean sameRun = existing != null && existing.task().equals(record.getTask());
        if (record.getState() == KeyEntry.NOT_RUN)
        {
            if (sameRun)
            {
                entries.remove(name);
            }
            return;
        }
        if (!sameRun)
        {
            existing = KeyEntry.fromRecord(record);
            entries.put(name, existing);
        }
        if (record.getState() == KeyEntry.ENDED)
        {
            existing.answer().complete(record.getAnswer());
        }
    }

    /** Returns a copy of this slot that is complete only since a later time. */
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

    boolean isMoving()
    {
        return moving;
    }

    void setMoving(boolean value)
    {
        moving = value;
    }

    boolean hasUnfinishedRequests()
    {
        return entries.values().stream().anyMatch(entry -> !entry.answer().isDone());
    }

    int evictBefore(long time)
    {
        List<KeyEntry> expired = new ArrayList<>();
        for (KeyEntry entry : entries.values())
        {
            if (entry.createdAt() < time && entry.answer().isDone())
            {
                expired.add(entry);
            }
        }
        expired.forEach(entry -> entries.remove(entry.name()));
        return expired.size();
    }
}
