/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.Ping;
import org.gaugehollow.peer.generated.PeerProtocol.PingReply;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Guards against replies that reach the wrong call and against failures on invalid input. */
class PeerServerTest
{
    private static NetLoops loops;
    private static EventLog events;
    private static PeerServer server;

    @BeforeContainer
    @org.junit.jupiter.api.BeforeAll
    static void start()
    {
        loops = new NetLoops(Optional.empty());
        events = new EventLog("test", new HybridClock(System::currentTimeMillis));
        server = new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events, PeerServerTest::answer);
    }

    @AfterContainer
    @org.junit.jupiter.api.AfterAll
    static void stop()
    {
        server.close();
        loops.close();
    }

    private static Frame.Builder answer(Frame call) throws InterruptedException
    {
        String box = call.getPing().getStatus().getBox();
        if ("slow".equals(box))
        {
            Thread.sleep(400);
        }
        if ("refuse".equals(box))
        {
            throw new GaugehollowException(ResultCode.PEER_BAD_CALL, "no");
        }
        return Frame.newBuilder().setPingReply(PingReply.newBuilder().setStatus(call.getPing().getStatus()));
    }

    private static Frame.Builder ping(String box)
    {
        return Frame.newBuilder().setPing(Ping.newBuilder().setStatus(BoxStatus.newBuilder().setBox(box)));
    }

    private static PeerLink link()
    {
        return new PeerLink(loops, server.address(), events, new Metrics());
    }

    @Test
    void lateReplyReachesNoOtherCall() throws Exception
    {
        try (PeerLink link = link())
        {
            assertThat(assertThrows(GaugehollowException.class, () -> link.call(ping("slow"), 50)).code())
                    .isEqualTo(ResultCode.PEER_LOST);
            for (int i = 0; i < 50; i++)
            {
                String box = "b" + i;
                assertThat(link.call(ping(box), 5_000).getPingReply().getStatus().getBox()).isEqualTo(box);
                Thread.sleep(10);
            }
        }
    }

    @Test
    void refusalKeepsItsCodeAndDiffersFromUnreachablePeer() throws Exception
    {
        try (PeerLink link = link())
        {
            assertThat(
                    assertThrows(GaugehollowException.class, () -> link.call(ping("refuse"), 5_000)).code())
                    .isEqualTo(ResultCode.PEER_BAD_CALL);
        }
        try (PeerLink nobody = new PeerLink(loops, new InetSocketAddress("127.0.0.1", 1), events,
                new Metrics()))
        {
            assertThat(assertThrows(GaugehollowException.class, () -> nobody.call(ping("x"), 5_000)).code())
                    .isEqualTo(ResultCode.PEER_UNREACHABLE);
        }
    }

    @Property(tries = 150, seed = "8")
    void serverKeepsServingAfterInvalidBytes(@ForAll byte[] bytes) throws Exception
    {
        try (Socket socket = new Socket())
        {
            socket.connect(server.address());
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().write(new byte[]{0, 0, 0, 3, 9, 9, 9});
        }
        catch (SocketException e)
        {
            // The server may close the connection before all bytes are written.
        }
        try (PeerLink link = link())
        {
            assertThat(link.call(ping("ok"), 5_000).getPingReply().getStatus().getBox()).isEqualTo("ok");
        }
    }
}
