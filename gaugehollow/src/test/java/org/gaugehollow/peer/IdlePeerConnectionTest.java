/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.Ping;
import org.gaugehollow.peer.generated.PeerProtocol.PingReply;
import org.gaugehollow.peer.generated.PeerProtocol.RelayCall;
import org.gaugehollow.peer.generated.PeerProtocol.RelayReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import com.google.protobuf.ByteString;

/** Guards against connections that stay open although the other side has gone silent. */
class IdlePeerConnectionTest
{
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final int NEVER_MILLIS = 600_000;
    private static final int IDLE_MILLIS = 1_000;
    private static final int SLOW_CALL_MILLIS = 3 * IDLE_MILLIS;
    private static final int REPLY_BYTES = 4 << 20;
    private static final Duration MAX_WAIT = Duration.ofSeconds(10);

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));

    @AfterEach
    void close()
    {
        loops.close();
    }

    private PeerServer server(PeerTiming timing)
    {
        return new PeerServer(loops, ANY_PORT, events, IdlePeerConnectionTest::handle, timing);
    }

    private static Frame.Builder handle(Frame call) throws InterruptedException
    {
        if (call.hasRelay())
        {
            return Frame.newBuilder().setRelayReply(
                    RelayReply.newBuilder().setBody(ByteString.copyFrom(new byte[REPLY_BYTES])));
        }
        if ("slow".equals(call.getPing().getStatus().getBox()))
        {
            Thread.sleep(SLOW_CALL_MILLIS);
        }
        return Frame.newBuilder().setPingReply(PingReply.newBuilder().setStatus(call.getPing().getStatus()));
    }

    private static Frame.Builder ping(String box)
    {
        return Frame.newBuilder().setPing(Ping.newBuilder().setStatus(BoxStatus.newBuilder().setBox(box)));
    }

    private static void send(Socket socket, Frame.Builder call) throws IOException
    {
        byte[] bytes = call.setCallId(1).build().toByteArray();
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(bytes.length);
        output.write(bytes);
    }

    @Test
    void serverClosesConnectionWithoutCalls() throws Exception
    {
        PeerTiming timing = new PeerTiming(NEVER_MILLIS, 4, NEVER_MILLIS, IDLE_MILLIS, NEVER_MILLIS);
        try (PeerServer server = server(timing);
                Socket socket = new Socket(server.address().getAddress(), server.address().getPort()))
        {
            int read = assertTimeoutPreemptively(MAX_WAIT, () -> socket.getInputStream().read());
            assertThat(read).isEqualTo(-1);
        }
    }

    @Test
    void serverKeepsConnectionWithSlowCall() throws Exception
    {
        PeerTiming timing = new PeerTiming(NEVER_MILLIS, 4, NEVER_MILLIS, IDLE_MILLIS, NEVER_MILLIS);
        try (PeerServer server = server(timing);
                PeerLink link = new PeerLink(loops, server.address(), events, new Metrics(), timing))
        {
            assertThat(link.call(ping("slow"), (int) MAX_WAIT.toMillis()).getPingReply().getStatus().getBox())
                    .isEqualTo("slow");
        }
    }

    /** Guards against replies that are queued without limit. */
    @Test
    void serverClosesConnectionThatTakesNoReplies() throws Exception
    {
        PeerTiming timing = new PeerTiming(NEVER_MILLIS, 4, NEVER_MILLIS, NEVER_MILLIS, 200);
        try (PeerServer server = server(timing);
                Socket socket = new Socket(server.address().getAddress(), server.address().getPort()))
        {
            assertTimeoutPreemptively(MAX_WAIT, () -> assertThrows(IOException.class, () ->
            {
                while (true)
                {
                    send(socket, Frame.newBuilder().setRelay(RelayCall.getDefaultInstance()));
                    Thread.sleep(50);
                }
            }));
        }
    }

    @Test
    void linkClosesIdleConnectionAndOpensAnotherForTheNextCall() throws Exception
    {
        PeerTiming timing = new PeerTiming(NEVER_MILLIS, 4, IDLE_MILLIS, NEVER_MILLIS, NEVER_MILLIS);
        try (PeerServer server = server(timing);
                SilencingRelay relay = new SilencingRelay(server.address());
                PeerLink link = new PeerLink(loops, relay.address(), events, new Metrics(), timing))
        {
            link.call(ping("a"), (int) MAX_WAIT.toMillis());
            assertTimeoutPreemptively(MAX_WAIT, () ->
            {
                while (relay.openConnections() > 0)
                {
                    Thread.sleep(5);
                }
            });
            link.call(ping("b"), (int) MAX_WAIT.toMillis());
            assertThat(relay.accepted()).isEqualTo(2);
        }
    }

    @Test
    void linkKeepsConnectionWithSlowCall() throws Exception
    {
        PeerTiming timing = new PeerTiming(NEVER_MILLIS, 4, IDLE_MILLIS, NEVER_MILLIS, NEVER_MILLIS);
        try (PeerServer server = server(timing);
                PeerLink link = new PeerLink(loops, server.address(), events, new Metrics(), timing))
        {
            assertThat(link.call(ping("slow"), (int) MAX_WAIT.toMillis()).getPingReply().getStatus().getBox())
                    .isEqualTo("slow");
        }
    }

    @Test
    void linkClosesIdleConnectionsBeforeTheServerDoes()
    {
        assertThat(PeerTiming.DEFAULT.linkIdleMillis()).isLessThan(PeerTiming.DEFAULT.serverIdleMillis());
    }
}
