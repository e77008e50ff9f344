/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.KeySlots;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.StoreCall;
import org.gaugehollow.peer.generated.PeerProtocol.StoreReply;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls in flight that fail because the peer does not answer pings in time. */
class PeerMonitorTest
{
    private static final String HALL = "bole";
    private static final String SELF = "bole-1~a";
    private static final String PEER = "bole-2~b";
    private static final int PING_MILLIS = 50;
    private static final int CONFIRMATION_MILLIS = 400;
    private static final int FAILED_PINGS = 3;
    private static final int CALL_TIMEOUT_MILLIS = 20_000;

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final PeerDirectory directory = new PeerDirectory(loops, events, new Metrics());
    private final Supervisor supervisor = new Supervisor("peers", events);
    private final CountDownLatch callReached = new CountDownLatch(1);
    private final CountDownLatch pingsFailed = new CountDownLatch(FAILED_PINGS + 1);
    private final CountDownLatch resume = new CountDownLatch(1);
    private PeerServer peer;

    @BeforeEach
    void start()
    {
        peer = new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events, this::handle);
    }

    @AfterEach
    void close()
    {
        resume.countDown();
        supervisor.close();
        directory.close();
        peer.close();
        loops.close();
    }

    private Frame.Builder handle(Frame call) throws InterruptedException
    {
        if (call.hasStore())
        {
            callReached.countDown();
        }
        else
        {
            pingsFailed.countDown();
        }
        resume.await();
        return Frame.newBuilder().setStoreReply(StoreReply.newBuilder().setAnswers(true));
    }

    private PeerMonitor monitor()
    {
        BoxIdentity self = new BoxIdentity(SELF, SELF, HALL, "127.0.0.1:1");
        ConfigCache cache = new ConfigCache();
        AssignmentMaps maps = new AssignmentMaps(HALL, cache, events);
        cache.applyLocal(new ConfigEntry(StoreKeys.assignmentMap(HALL), 1, Json.write(map(self)), false));
        Rights rights = new Rights(CONFIRMATION_MILLIS, CONFIRMATION_MILLIS, SteadyClock::nanos);
        PeerMonitor.Parts parts = new PeerMonitor.Parts(self, maps, directory, cache, null, rights,
                new StoreLiveness(SELF, SteadyClock::nanos), supervisor, events);
        return new PeerMonitor(parts, BoxStatus::getDefaultInstance, () ->
        {
        }, PING_MILLIS, CONFIRMATION_MILLIS);
    }

    private AssignmentMap map(BoxIdentity self)
    {
        Map<String, AssignmentMap.Member> boxes = new LinkedHashMap<>();
        boxes.put(SELF, self.toMember());
        boxes.put(PEER, new AssignmentMap.Member(PEER, NetAddress.format(peer.address())));
        List<AssignmentMap.Assignment> owners = new ArrayList<>();
        for (int slot = 0; slot < KeySlots.COUNT; slot++)
        {
            owners.add(new AssignmentMap.Assignment(SELF, 1));
        }
        return new AssignmentMap(1, boxes, Map.of(), owners);
    }

    private void call(CompletableFuture<Boolean> reply)
    {
        try
        {
            Frame.Builder call = Frame.newBuilder().setStore(StoreCall.getDefaultInstance());
            reply.complete(directory.link(NetAddress.format(peer.address())).call(call, CALL_TIMEOUT_MILLIS)
                    .getStoreReply().getAnswers());
        }
        catch (InterruptedException | GaugehollowException e)
        {
            reply.completeExceptionally(e);
        }
    }

    @Test
    void failedPingsLeaveCallsInFlightAlone() throws Exception
    {
        CompletableFuture<Boolean> reply = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> call(reply));
        assertThat(callReached.await(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        monitor().syncWithMap();
        assertThat(pingsFailed.await(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        resume.countDown();
        assertThat(reply.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }
}
