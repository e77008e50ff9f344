/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import java.util.concurrent.CompletableFuture;

import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.peer.generated.PeerProtocol.KeyRecord;

/** The owner's record of an idempotency key and of the only run of its request. */
public final class KeyEntry
{
    /** The states of a record in peer messages. */
    static final int INTENDED = 1;
    static final int ENDED = 2;
    static final int NOT_RUN = 3;

    private final String team;
    private final String key;
    private final String workload;
    private final String task;
    private final int slot;
    private final long createdAt;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();

    KeyEntry(String team, String key, String workload, String task, int slot, long createdAt)
    {
        this.team = team;
        this.key = key;
        this.workload = workload;
        this.task = task;
        this.slot = slot;
        this.createdAt = createdAt;
    }

    static KeyEntry fromRecord(KeyRecord record)
    {
        return new KeyEntry(record.getTeam(), record.getKey(), record.getWorkload(), record.getTask(),
                record.getSlot(), record.getNotedAt());
    }

    KeyRecord toRecord(int state)
    {
        KeyRecord.Builder record = KeyRecord.newBuilder().setTeam(team).setKey(key).setWorkload(workload)
                .setTask(task).setSlot(slot).setNotedAt(createdAt).setState(state);
        if (state == ENDED)
        {
            record.setAnswer(answer.join());
        }
        return record.build();
    }

    /** @return the record in its current state */
    KeyRecord toRecord()
    {
        return toRecord(answer.isDone() ? ENDED : INTENDED);
    }

    /** @return the record stating that the request may run */
    public KeyRecord intendedRecord()
    {
        return toRecord(INTENDED);
    }

    /** @return the record with the answer; valid only after the run ended */
    public KeyRecord endedRecord()
    {
        return toRecord(ENDED);
    }

    /** @return the record stating that the request was certainly not run */
    public KeyRecord notRunRecord()
    {
        return toRecord(NOT_RUN);
    }

    static String nameOf(String team, String key)
    {
        return team + '\n' + key;
    }

    String name()
    {
        return nameOf(team, key);
    }

    /** @return the task id of the run */
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

    long createdAt()
    {
        return createdAt;
    }

    /** @return a future that completes with the answer when the run ends */
    public CompletableFuture<Answer> answer()
    {
        return answer;
    }
}
