/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.admission.BacklogAccount;
import org.gaugehollow.admission.ServiceCapacity;
import org.gaugehollow.admission.WaitingClass;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.peer.SilencingRelay;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.OwnerReply;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.schedule.AdviceDispatcher;
import org.gaugehollow.schedule.TimedBacklog;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.Advice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against replacing a living owner, and against keeping a dead one. */
class PeerOwnerProbeTest
{
    private static final String OWNER = "owner~1";
    private static final int HOLD_MILLIS = 250;
    /** A dead owner is suspected within a second. */
    private static final long DETECTION_MILLIS = 1_000;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final PeerDirectory directory = new PeerDirectory(loops, events, new Metrics());
    private final BoxRegistry registry = new BoxRegistry("self", new BoxRegistry.Entry("127.0.0.1:2", 700),
            new FakeStore(), directory, new PeerTermProbe("self", "127.0.0.1:2", directory), "hall",
            new AdviceDispatcher((step, workers, timeout) -> new Advice(List.of(), 0), events), events);
    private final List<TimedBacklog> backlogs = new ArrayList<>();
    private final PeerOwnerProbe probe = new PeerOwnerProbe(registry, backlogs::add);

    @AfterEach
    void close()
    {
        directory.close();
        loops.close();
    }

    private void register(InetSocketAddress address)
    {
        BoxRegistry.Entry entry = new BoxRegistry.Entry(NetAddress.format(address), 700);
        registry.onPut(JobKeys.BOXES + OWNER, Json.write(entry), 1);
    }

    private static Frame.Builder answerAsOwner(Frame call) throws InterruptedException
    {
        Thread.sleep(call.getOwner().getWaitMillis());
        return Frame.newBuilder().setOwnerReply(OwnerReply.newBuilder().setIsOwner(true));
    }

    @Test
    void livingOwnerIsReachedAfterItsConnectionsGoSilent() throws Exception
    {
        try (PeerServer server = new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events,
                PeerOwnerProbeTest::answerAsOwner);
                SilencingRelay relay = new SilencingRelay(server.address()))
        {
            register(relay.address());
            assertThat(probe.probe(OWNER, OWNER, HOLD_MILLIS).owner()).isTrue();
            relay.silenceOpenConnections();
            assertThat(probe.probe(OWNER, OWNER, HOLD_MILLIS).owner()).isTrue();
        }
    }

    /** Guards against deciding on an account whose age or content changed on its way. */
    @Test
    void accountOfTheOwnerArrivesWithItsAge() throws Exception
    {
        BacklogAccount account = new BacklogAccount(OWNER, 7,
                List.of(new WaitingClass("service", 2, true, false, 90_000, 3, 500)),
                List.of(new ServiceCapacity("service", new ComputeResources(0, 500, 100, 1), 900, 4_500,
                        8_000)),
                Set.of("loud"));
        long takenNanos = SteadyClock.nanos();
        try (PeerServer server = new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events, call ->
        {
            Frame.Builder reply = answerAsOwner(call);
            reply.setOwnerReply(reply.getOwnerReply().toBuilder()
                    .setBacklog(BacklogCodec
                            .write(new TimedBacklog(Optional.of(account), takenNanos), SteadyClock.nanos())
                            .orElseThrow()));
            return reply;
        }))
        {
            register(server.address());
            probe.probe(OWNER, OWNER, HOLD_MILLIS);
        }
        assertThat(backlogs).hasSize(1);
        assertThat(backlogs.getFirst().account()).hasValue(account);
        assertThat(backlogs.getFirst().nanos()).isAtMost(takenNanos + TimeUnit.MILLISECONDS.toNanos(1));
        assertThat(backlogs.getFirst().nanos())
                .isGreaterThan(takenNanos - TimeUnit.MILLISECONDS.toNanos(DETECTION_MILLIS));
    }

    @Test
    void ownerThatNeverAnswersIsNotReached() throws Exception
    {
        try (ServerSocket listener = new ServerSocket(0, 0, InetAddress.getByName("127.0.0.1")))
        {
            register((InetSocketAddress) listener.getLocalSocketAddress());
            long startNanos = SteadyClock.nanos();
            assertThat(probe.probe(OWNER, OWNER, HOLD_MILLIS).reached()).isFalse();
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos);
            assertThat(elapsedMillis).isLessThan(DETECTION_MILLIS);
        }
    }
}
