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
 * Measures the heap size of one key record with its answer as the average growth over many records,
 * in several rounds.
 */
public final class RecordMemory
{
    private static final int RECORD_COUNT = 50_000;
    private static final int ROUND_COUNT = 5;
    private static final int ANSWER_BYTES = 100;
    private static final int GC_RUNS = 3;

    private RecordMemory()
    {
    }

    /**
     * Prints the size of a record in bytes.
     *
     * @param args not used
     */
    public static void main(String[] args)
    {
        long[] bytes = new long[ROUND_COUNT];
        for (int round = 0; round < ROUND_COUNT; round++)
        {
            KeyTable table = createOwnedTable();
            long before = usedHeap();
            for (int i = 0; i < RECORD_COUNT; i++)
            {
                KeyTable.Registration registration = table.register("team-bole",
                        "round-" + round + "-key-" + i, "goal", System.currentTimeMillis(),
                        "bole-1~4f2a9c-" + i);
                table.recordAnswer(registration.entry(),
                        Answer.newBuilder().setStatus(200).setTask(registration.entry().task())
                                .setBox("bole-1~4f2a9c").setUpstream("bole-w1")
                                .setContentType("application/json")
                                .setBody(ByteString.copyFrom(new byte[ANSWER_BYTES])).build());
            }
            bytes[round] = (usedHeap() - before) / table.recordCount();
        }
        Arrays.sort(bytes);
        System.out.printf(
                "bytes per record with an answer of %d bytes: %d (%d to %d), %d rounds of %d records%n",
                ANSWER_BYTES, bytes[ROUND_COUNT / 2], bytes[0], bytes[ROUND_COUNT - 1], ROUND_COUNT,
                RECORD_COUNT);
    }

    private static KeyTable createOwnedTable()
    {
        BoxIdentity self = new BoxIdentity("bole-1", "bole-1~4f2a9c", "bole", "127.0.0.1:1");
        EventLog events = new EventLog(self.id(), new HybridClock(System::currentTimeMillis));
        KeyTable table = new KeyTable(new KeyLimits(600_000, 2_000, 2 * RECORD_COUNT),
                System::currentTimeMillis);
        AssignmentMaps halls = new AssignmentMaps(self.hall(), new ConfigCache(), events);
        PeerDirectory peers = new PeerDirectory(new NetLoops(Optional.empty()), events, new Metrics());
        KeyReplicator replicator = new KeyReplicator(self, halls, peers, table);
        new KeyOwnership(self.id(), table, new ReplicaTable(self.id()), replicator, System::currentTimeMillis,
                events).applyMap(AssignmentMap.initial(self.toMember()));
        return table;
    }

    private static long usedHeap()
    {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < GC_RUNS; i++)
        {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
