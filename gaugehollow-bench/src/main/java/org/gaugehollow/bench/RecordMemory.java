/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.bench;

import java.util.Arrays;
import java.util.Optional;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.keys.KeyLimits;
import org.gaugehollow.keys.KeyOwnership;
import org.gaugehollow.keys.KeyReplicator;
import org.gaugehollow.keys.KeyTable;
import org.gaugehollow.keys.ReplicaTable;
import org.gaugehollow.membership.AssignmentMaps;
import org.gaugehollow.membership.BoxIdentity;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;

import com.google.protobuf.ByteString;

/**
 * How much heap one key record with its answer takes: the growth over many records, by several
 * rounds.
 */
public final class RecordMemory
{
    private static final int RECORDS = 50_000;
    private static final int ROUNDS = 5;
    private static final int ANSWER_BYTES = 100;
    private static final int COLLECTIONS = 3;

    private RecordMemory()
    {
    }

    /**
     * Prints the bytes a record takes.
     *
     * @param args none
     */
    public static void main(String[] args)
    {
        long[] bytes = new long[ROUNDS];
        for (int round = 0; round < ROUNDS; round++)
        {
            KeyTable table = ownerOfAll();
            long before = usedHeap();
            for (int i = 0; i < RECORDS; i++)
            {
                KeyTable.Registration ask = table.register("team-bole", "round-" + round + "-key-" + i,
                        "goal", System.currentTimeMillis(), "bole-1~4f2a9c-" + i);
                table.recordAnswer(ask.entry(),
                        Answer.newBuilder().setStatus(200).setTask(ask.entry().task()).setBox("bole-1~4f2a9c")
                                .setUpstream("bole-w1").setContentType("application/json")
                                .setBody(ByteString.copyFrom(new byte[ANSWER_BYTES])).build());
            }
            bytes[round] = (usedHeap() - before) / table.recordCount();
        }
        Arrays.sort(bytes);
        System.out.printf(
                "bytes a record with an answer of %d bytes: %d (%d to %d), %d rounds of %d records%n",
                ANSWER_BYTES, bytes[ROUNDS / 2], bytes[0], bytes[ROUNDS - 1], ROUNDS, RECORDS);
    }

    private static KeyTable ownerOfAll()
    {
        BoxIdentity self = new BoxIdentity("bole-1", "bole-1~4f2a9c", "bole", "127.0.0.1:1");
        EventLog events = new EventLog(self.id(), new HybridClock(System::currentTimeMillis));
        KeyTable table = new KeyTable(new KeyLimits(600_000, 2_000, 2 * RECORDS), System::currentTimeMillis);
        AssignmentMaps halls = new AssignmentMaps(self.hall(), new ConfigCache(), events);
        PeerDirectory nobody = new PeerDirectory(new NetLoops(Optional.empty()), events, new Metrics());
        KeyReplicator copier = new KeyReplicator(self, halls, nobody, table);
        new KeyOwnership(self.id(), table, new ReplicaTable(self.id()), copier, System::currentTimeMillis,
                events).applyMap(AssignmentMap.initial(self.toMember()));
        return table;
    }

    private static long usedHeap()
    {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++)
        {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
