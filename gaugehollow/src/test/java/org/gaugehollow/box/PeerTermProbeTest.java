/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.schedule.PreviousTerm;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what the process at the address of an earlier owner proves of the end of its term. */
class PeerTermProbeTest
{
    private static final long FENCE = 7;
    private static final String UNUSED_ADDRESS = "127.0.0.1:1";
    /** Time for which a process has listened when it is asked. */
    private static final long LISTENING_MILLIS = 1_000;
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(LISTENING_MILLIS / 2);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final PeerDirectory directory = new PeerDirectory(loops, events, new Metrics());
    private final PeerTermProbe probe = new PeerTermProbe("b~1", UNUSED_ADDRESS, directory);
    private PeerServer server;

    @AfterEach
    void close()
    {
        if (server != null)
        {
            server.close();
        }
        directory.close();
        loops.close();
    }

    /** Starts a box that answers whether it has ended the term in question. */
    private String listen(PeerTermProbe listening, boolean endsTerm)
    {
        server = new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events,
                call -> listening.handle(call.getTerm(), fence -> fence == FENCE && endsTerm));
        return NetAddress.format(server.address());
    }

    private String listen(String box, boolean endsTerm)
    {
        return listen(new PeerTermProbe(box, "", directory), endsTerm);
    }

    private OptionalLong endNanos(String box, String address) throws InterruptedException
    {
        return probe.endNanos(new PreviousTerm(FENCE, box, address, 0, 0, true, false));
    }

    @Test
    void otherProcessAtItsAddressProvesThatAnOwnerEndedBeforeItListened() throws InterruptedException
    {
        PeerTermProbe other = new PeerTermProbe("a~2", "", directory);
        String address = listen(other, false);
        assertThat(endNanos("a~1", address)).isEqualTo(OptionalLong.empty());
        long listeningNanos = SteadyClock.nanos();
        other.onListening(listeningNanos);
        Thread.sleep(LISTENING_MILLIS);
        long endNanos = endNanos("a~1", address).orElseThrow();
        assertThat(endNanos).isAtLeast(listeningNanos);
        assertThat(endNanos).isLessThan(listeningNanos + TOLERANCE_NANOS);
    }

    /**
     * Guards against two runs of a task, because an owner counts as ended while its successor starts.
     */
    @Test
    void processThatDoesNotListenYetProvesNothing() throws InterruptedException
    {
        assertThat(endNanos("a~1", listen("a~2", false))).isEqualTo(OptionalLong.empty());
        assertThat(endNanos("a~1", UNUSED_ADDRESS)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void ownerThatSendsNoMoreCommandsProvesTheEndOfItsTermFromNow() throws InterruptedException
    {
        String address = listen("a~1", true);
        long sentNanos = SteadyClock.nanos();
        assertThat(endNanos("a~1", address).orElseThrow()).isAtLeast(sentNanos);
    }

    /**
     * Guards against two runs of a task, because an owner that begins its term late counts as ended.
     */
    @Test
    void ownerThatDoesNotKnowItsTermYetProvesNothing() throws InterruptedException
    {
        assertThat(endNanos("a~1", listen("a~1", false))).isEqualTo(OptionalLong.empty());
    }

    /** Guards against two runs of a task, because an owner that can't be reached counts as ended. */
    @Test
    void addressWithoutAProcessProvesNothing() throws InterruptedException
    {
        assertThat(endNanos("a~1", "127.0.0.1:2")).isEqualTo(OptionalLong.empty());
    }

    @Test
    void thisProcessIsProofAtItsOwnAddress() throws InterruptedException
    {
        long beforeNanos = SteadyClock.nanos();
        probe.onListening(SteadyClock.nanos());
        assertThat(endNanos("a~1", UNUSED_ADDRESS).orElseThrow()).isAtLeast(beforeNanos);
        assertThat(endNanos("b~1", UNUSED_ADDRESS).orElseThrow()).isAtLeast(beforeNanos);
    }
}
