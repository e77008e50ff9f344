/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import java.util.concurrent.CompletableFuture;

import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.peer.generated.PeerProtocol.KeyRecord;

/** What the owner of a key knows of the one run of its request. */
public final class KeyEntry
{
    /** The record's states on the wire. */
    static final int INTENDED = 1;
    static final int ENDED = 2;
    static final int FORGET = 3;

    private final String team;
    private final String key;
    private final String workload;
    private final String task;
    private final int slot;
    private final long notedAt;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();

    KeyEntry(String team, String key, String workload, String task, int slot, long notedAt)
    {
        this.team = team;
        this.key = key;
        this.workload = workload;
        this.task = task;
        this.slot = slot;
        this.notedAt = notedAt;
    }

    static KeyEntry of(KeyRecord record)
    {
        return new KeyEntry(record.getTeam(), record.getKey(), record.getWorkload(), record.getTask(),
                record.getSlot(), record.getNotedAt());
    }

    KeyRecord toRecord(int state)
    {
        KeyRecord.Builder record = KeyRecord.newBuilder().setTeam(team).setKey(key).setWorkload(workload)
                .setTask(task).setSlot(slot).setNotedAt(notedAt).setState(state);
        if (state == ENDED)
        {
            record.setAnswer(answer.join());
        }
        return record.build();
    }

    /** @return the record as it stands */
    KeyRecord toRecord()
    {
        return toRecord(answer.isDone() ? ENDED : INTENDED);
    }

    /** @return the record that says the request may run from now on */
    public KeyRecord intendedRecord()
    {
        return toRecord(INTENDED);
    }

    /** @return the record that holds the answer; only after the run ended */
    public KeyRecord endedRecord()
    {
        return toRecord(ENDED);
    }

    /** @return the record that says the request was surely not run */
    public KeyRecord forgetRecord()
    {
        return toRecord(FORGET);
    }

    static String nameOf(String team, String key)
    {
        return team + '\n' + key;
    }

    String name()
    {
        return nameOf(team, key);
    }

    /** @return the task id under which it runs or ran */
    public String task()
    {
        return task;
    }

    String workload()
    {
        return workload;
    }

    int slot()
    {
        return slot;
    }

    long notedAt()
    {
        return notedAt;
    }

    /** @return completed with the answer when the run ends */
    public CompletableFuture<Answer> answer()
    {
        return answer;
    }
}
