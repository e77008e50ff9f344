/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.VouchCall;
import org.gaugehollow.schedule.Witnesses.Vouch;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against two runs of a task, because a box vouches for an owner that was replaced. */
class PeerWitnessesTest
{
    private static final long FENCE = 7;
    private static final String OWN_ADDRESS = "127.0.0.1:1";
    private static final long QUIET_MILLIS = 1_000;
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(QUIET_MILLIS / 2);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final PeerDirectory directory = new PeerDirectory(loops, events, new Metrics());
    private volatile OptionalLong listeningNanos = OptionalLong.of(SteadyClock.nanos());
    private final PeerWitnesses owner = witnesses("bole");
    private final PeerWitnesses witness = witnesses("bole");
    private final PeerServer server = listen(witness);
    private final String address = NetAddress.format(server.address());

    @AfterEach
    void close()
    {
        server.close();
        directory.close();
        loops.close();
    }

    private PeerWitnesses witnesses(String hall)
    {
        return new PeerWitnesses(OWN_ADDRESS, hall, directory, List::of, () -> listeningNanos);
    }

    private PeerServer listen(PeerWitnesses answering)
    {
        return new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events,
                call -> handle(answering, call));
    }

    private static Frame.Builder handle(PeerWitnesses answering, Frame call)
    {
        return switch (call.getBodyCase())
        {
            case VOUCH -> answering.handle(call.getVouch());
            case END_VOUCHING -> answering.handle(call.getEndVouching());
            default -> throw new GaugehollowException(ResultCode.PEER_BAD_CALL, "unexpected");
        };
    }

    @Test
    void witnessVouchesUntilALaterOwnerAsksItToStop() throws InterruptedException
    {
        assertThat(owner.vouch(address, FENCE)).isEqualTo(new Vouch(true, true, true));
        long afterNanos = SteadyClock.nanos();
        Thread.sleep(QUIET_MILLIS);
        long sinceNanos = owner.endVouching(address, FENCE + 1).orElseThrow();
        assertThat(sinceNanos).isAtLeast(afterNanos - TOLERANCE_NANOS);
        assertThat(sinceNanos).isLessThan(afterNanos + TOLERANCE_NANOS);
        assertThat(owner.vouch(address, FENCE).vouches()).isFalse();
        assertThat(owner.vouch(address, FENCE + 1).vouches()).isTrue();
    }

    /** A late question of an owner in between allows nothing that was promised to a later one. */
    @Test
    void promiseToALaterOwnerHolds() throws InterruptedException
    {
        owner.endVouching(address, FENCE + 2);
        owner.endVouching(address, FENCE + 1);
        assertThat(owner.vouch(address, FENCE + 1).vouches()).isFalse();
    }

    /** The process before it at its address may have vouched until it ended. */
    @Test
    void processThatHasVouchedForNobodyAnswersSinceWhenItListens() throws InterruptedException
    {
        Thread.sleep(QUIET_MILLIS);
        long sinceNanos = owner.endVouching(address, FENCE).orElseThrow();
        assertThat(sinceNanos).isAtLeast(listeningNanos.getAsLong());
        assertThat(sinceNanos).isLessThan(listeningNanos.getAsLong() + TOLERANCE_NANOS);
    }

    @Test
    void processThatDoesNotListenYetAnswersNothing() throws InterruptedException
    {
        listeningNanos = OptionalLong.empty();
        assertThat(owner.endVouching(address, FENCE)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void addressWithoutAProcessAnswersNothing() throws InterruptedException
    {
        assertThat(owner.vouch("127.0.0.1:2", FENCE)).isEqualTo(Vouch.NONE);
        assertThat(owner.endVouching("127.0.0.1:2", FENCE)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void newOwnerMayHaveBeenTheWitness() throws InterruptedException
    {
        long beforeNanos = SteadyClock.nanos();
        handle(owner, Frame.newBuilder().setVouch(VouchCall.newBuilder().setFence(FENCE)).build());
        assertThat(owner.endVouching(OWN_ADDRESS, FENCE + 1).orElseThrow()).isAtLeast(beforeNanos);
    }

    @Test
    void boxesTellTheirHalls() throws InterruptedException
    {
        assertThat(witnesses("piassa").vouch(address, FENCE).sameHall()).isFalse();
    }
}
