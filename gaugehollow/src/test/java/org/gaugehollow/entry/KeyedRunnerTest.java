/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.StoreKeys;
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
import org.gaugehollow.membership.Rights;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.KeySlots;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TaskClass;
import org.gaugehollow.model.TeamSpec;
import org.gaugehollow.model.WorkloadSpec;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.peer.generated.PeerProtocol.CopyCall;
import org.gaugehollow.peer.generated.PeerProtocol.CopyReply;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against false reports that a key did not run. */
class KeyedRunnerTest
{
    private static final String HALL = "hall";
    private static final String SELF = "box-1";
    private static final String SUCCESSOR = "box-2";
    private static final long RIGHTS_MILLIS = 60_000;
    private static final KeyLimits LIMITS = new KeyLimits(60_000, 200, 5);
    private static final WorkloadSpec WORKLOAD = new WorkloadSpec(TaskClass.BATCH, null, 0, false, 0, null);
    private static final TeamSpec TEAM = new TeamSpec(HALL, 0, 0);

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final Metrics metrics = new Metrics();
    private final Rights rights = new Rights(RIGHTS_MILLIS, RIGHTS_MILLIS, SteadyClock::nanos);
    private final PeerDirectory directory = new PeerDirectory(loops, events, metrics);
    private final PeerServer successor = new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events,
            call -> answerCopy(call.getCopy()));
    private volatile boolean acceptRecords = true;
    private volatile boolean revokeRightsOnCopy;
    private KeyedRunner runner;

    @BeforeEach
    void setUp()
    {
        rights.renew(SteadyClock.nanos());
        BoxIdentity self = new BoxIdentity(SELF, SELF, HALL, "127.0.0.1:1");
        ConfigCache cache = new ConfigCache();
        AssignmentMaps assignmentMaps = new AssignmentMaps(HALL, cache, events);
        cache.applyLocal(new ConfigEntry(StoreKeys.assignmentMap(HALL), 1, Json.write(map(self)), false));
        KeyTable keyTable = new KeyTable(LIMITS, System::currentTimeMillis);
        KeyReplicator replicator = new KeyReplicator(self, assignmentMaps, directory, keyTable);
        new KeyOwnership(SELF, keyTable, new ReplicaTable(SELF), replicator, System::currentTimeMillis,
                events).applyMap(map(self));
        RequestSupport support = new RequestSupport(self, null, assignmentMaps, rights, null, directory, null,
                metrics, events);
        runner = new KeyedRunner(support, keyTable, replicator, null);
    }

    @AfterEach
    void tearDown()
    {
        successor.close();
        directory.close();
        loops.close();
    }

    /** Returns a map of two boxes in which this box owns all key slots. */
    private AssignmentMap map(BoxIdentity self)
    {
        Map<String, AssignmentMap.Member> boxes = new LinkedHashMap<>();
        boxes.put(SELF, self.toMember());
        boxes.put(SUCCESSOR, new AssignmentMap.Member(SUCCESSOR, NetAddress.format(successor.address())));
        List<AssignmentMap.Assignment> owners = new ArrayList<>();
        for (int slot = 0; slot < KeySlots.COUNT; slot++)
        {
            owners.add(new AssignmentMap.Assignment(SELF, 1));
        }
        return new AssignmentMap(1, boxes, Map.of(), owners);
    }

    private Frame.Builder answerCopy(CopyCall call)
    {
        boolean hasRecord = call.getRecordsCount() > 0;
        if (hasRecord && revokeRightsOnCopy)
        {
            rights.revoke();
        }
        return Frame.newBuilder()
                .setCopyReply(CopyReply.newBuilder().setAccepted(!hasRecord || acceptRecords));
    }

    private Answer runRequest() throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(5);
        return runner.runOrJoin(new CallerRequest("task", "team", "goal", "key", System.currentTimeMillis(),
                deadline, "text/plain", new byte[0], 0, false), WORKLOAD, TEAM);
    }

    /**
     * Guards against claiming "not run" after the rights ended, when another box may own the key.
     */
    @Test
    void rightsLostAfterReplicationGiveNoEvidenceOfNotRun() throws InterruptedException
    {
        revokeRightsOnCopy = true;
        Answer answer = runRequest();
        assertThat(Answers.codeOf(answer)).isEqualTo(ResultCode.NO_RIGHTS);
        assertThat(answer.getEvidence()).isFalse();
    }

    /** Guards against the same claim if replication fails while the rights end. */
    @Test
    void rightsLostDuringFailedReplicationGiveNoEvidenceOfNotRun() throws InterruptedException
    {
        acceptRecords = false;
        revokeRightsOnCopy = true;
        Answer answer = runRequest();
        assertThat(Answers.isNotRun(answer)).isTrue();
        assertThat(answer.getEvidence()).isFalse();
    }

    @Test
    void failedReplicationWithValidRightsIsEvidenceOfNotRun() throws InterruptedException
    {
        acceptRecords = false;
        Answer answer = runRequest();
        assertThat(Answers.codeOf(answer)).isEqualTo(ResultCode.NO_COPY);
        assertThat(answer.getEvidence()).isTrue();
    }
}
