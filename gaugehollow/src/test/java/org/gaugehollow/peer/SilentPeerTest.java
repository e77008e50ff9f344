/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.ErrorReply;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.Ping;
import org.gaugehollow.peer.generated.PeerProtocol.PingReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that keep using a connection which carries no more data but is open. */
class SilentPeerTest
{
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final int SHORT_MILLIS = 200;
    private static final int LONG_MILLIS = 20_000;
    private static final PeerTiming FAST_CHECKS = new PeerTiming(50, 4, LONG_MILLIS, LONG_MILLIS,
            LONG_MILLIS);
    private static final PeerTiming NO_CHECKS = new PeerTiming(LONG_MILLIS, 4, LONG_MILLIS, LONG_MILLIS,
            LONG_MILLIS);
    private static final String SLOW = "slow";

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final CountDownLatch slowCallsEnd = new CountDownLatch(1);
    private final AtomicInteger slowCalls = new AtomicInteger();
    private PeerServer server;
    private SilencingRelay relay;

    @BeforeEach
    void start() throws IOException
    {
        server = new PeerServer(loops, ANY_PORT, events, this::handle);
        relay = new SilencingRelay(server.address());
    }

    @AfterEach
    void close() throws IOException
    {
        slowCallsEnd.countDown();
        relay.close();
        server.close();
        loops.close();
    }

    private Frame.Builder handle(Frame call) throws InterruptedException
    {
        if (call.getPing().getStatus().getBox().startsWith(SLOW))
        {
            slowCalls.incrementAndGet();
            slowCallsEnd.await();
        }
        return Frame.newBuilder().setPingReply(PingReply.newBuilder().setStatus(call.getPing().getStatus()));
    }

    private PeerLink link(PeerTiming timing)
    {
        return new PeerLink(loops, relay.address(), events, new Metrics(), timing);
    }

    private static String call(PeerLink link, String box, int timeoutMillis) throws InterruptedException
    {
        Ping ping = Ping.newBuilder().setStatus(BoxStatus.newBuilder().setBox(box)).build();
        return link.call(Frame.newBuilder().setPing(ping), timeoutMillis).getPingReply().getStatus().getBox();
    }

    private static GaugehollowException failedCall(PeerLink link, String box, int timeoutMillis)
    {
        return assertThrows(GaugehollowException.class, () -> call(link, box, timeoutMillis));
    }

    /** Starts a call and waits until the peer handles it. */
    private CompletableFuture<String> startSlowCall(PeerLink link, String box) throws InterruptedException
    {
        int handled = slowCalls.get();
        CompletableFuture<String> reply = new CompletableFuture<>();
        Thread.ofVirtual().start(() ->
        {
            try
            {
                reply.complete(call(link, box, LONG_MILLIS));
            }
            catch (InterruptedException | GaugehollowException e)
            {
                reply.completeExceptionally(e);
            }
        });
        while (slowCalls.get() == handled)
        {
            Thread.sleep(1);
        }
        return reply;
    }

    @Test
    void silentConnectionFailsOnlyOneShortCall() throws Exception
    {
        try (PeerLink link = link(PeerTiming.DEFAULT))
        {
            assertThat(call(link, "a", LONG_MILLIS)).isEqualTo("a");
            relay.silenceOpenConnections();
            assertThat(failedCall(link, "b", SHORT_MILLIS).code()).isEqualTo(ResultCode.PEER_LOST);
            assertThat(call(link, "c", LONG_MILLIS)).isEqualTo("c");
            assertThat(relay.accepted()).isEqualTo(2);
        }
    }

    @Test
    void longCallOnSilentConnectionFailsBeforeItsTimeout() throws Exception
    {
        try (PeerLink link = link(FAST_CHECKS))
        {
            assertThat(call(link, "a", LONG_MILLIS)).isEqualTo("a");
            relay.silenceOpenConnections();
            GaugehollowException failure = assertTimeoutPreemptively(Duration.ofSeconds(5),
                    () -> failedCall(link, "b", LONG_MILLIS));
            assertThat(failure.code()).isEqualTo(ResultCode.PEER_LOST);
            assertThat(failure).hasMessageThat().contains("silent");
            assertThat(call(link, "c", LONG_MILLIS)).isEqualTo("c");
        }
    }

    /** Guards against keep-alive frames that wait for the peer's handler. */
    @Test
    void slowHandlerDoesNotMakeConnectionSilent() throws Exception
    {
        try (PeerLink link = link(FAST_CHECKS))
        {
            CompletableFuture<String> reply = startSlowCall(link, SLOW);
            Thread.sleep(20 * FAST_CHECKS.checkMillis());
            assertThat(reply.isDone()).isFalse();
            slowCallsEnd.countDown();
            assertThat(reply.get(LONG_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(SLOW);
            assertThat(relay.accepted()).isEqualTo(1);
        }
    }

    @Test
    void timedOutCallLeavesConnectionThatReceivedDataOpen() throws Exception
    {
        try (PeerLink link = link(FAST_CHECKS))
        {
            CompletableFuture<String> slowReply = startSlowCall(link, SLOW);
            assertThat(failedCall(link, SLOW, 10 * (int) FAST_CHECKS.checkMillis()).code())
                    .isEqualTo(ResultCode.PEER_LOST);
            slowCallsEnd.countDown();
            for (int i = 0; i < 20; i++)
            {
                assertThat(call(link, "b" + i, LONG_MILLIS)).isEqualTo("b" + i);
            }
            assertThat(slowReply.get(LONG_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(SLOW);
            assertThat(relay.accepted()).isEqualTo(1);
        }
    }

    /**
     * Guards against losing calls, and against opening connections without limit, if a peer is slow.
     */
    @Test
    void replacedConnectionsKeepTheirCallsAndAreLimited() throws Exception
    {
        try (PeerLink link = link(NO_CHECKS))
        {
            List<CompletableFuture<String>> replies = new ArrayList<>();
            for (int i = 0; i < 8; i++)
            {
                replies.add(startSlowCall(link, SLOW + i));
                assertThat(failedCall(link, SLOW, 50).code()).isEqualTo(ResultCode.PEER_LOST);
            }
            assertThat(relay.accepted()).isEqualTo(4);
            slowCallsEnd.countDown();
            for (int i = 0; i < replies.size(); i++)
            {
                assertThat(replies.get(i).get(LONG_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(SLOW + i);
            }
        }
    }

    @Test
    void replacedConnectionIsClosedAfterItsLastCall() throws Exception
    {
        try (PeerLink link = link(NO_CHECKS))
        {
            CompletableFuture<String> reply = startSlowCall(link, SLOW);
            failedCall(link, SLOW, SHORT_MILLIS);
            call(link, "a", LONG_MILLIS);
            assertThat(relay.openConnections()).isEqualTo(2);
            slowCallsEnd.countDown();
            reply.get(LONG_MILLIS, TimeUnit.MILLISECONDS);
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (relay.openConnections() > 1 && System.nanoTime() < endNanos)
            {
                Thread.sleep(5);
            }
            assertThat(relay.openConnections()).isEqualTo(1);
            assertThat(call(link, "b", LONG_MILLIS)).isEqualTo("b");
            assertThat(relay.accepted()).isEqualTo(2);
        }
    }

    /** Guards against failing the calls of a newer connection when an older one is closed. */
    @Test
    void closedConnectionFailsOnlyItsOwnCalls() throws Exception
    {
        try (PeerLink link = link(NO_CHECKS))
        {
            CompletableFuture<String> oldReply = startSlowCall(link, SLOW + "-old");
            failedCall(link, SLOW, SHORT_MILLIS);
            CompletableFuture<String> newReply = startSlowCall(link, SLOW + "-new");
            relay.closeConnection(0);
            ExecutionException failure = assertThrows(ExecutionException.class,
                    () -> oldReply.get(LONG_MILLIS, TimeUnit.MILLISECONDS));
            assertThat(((GaugehollowException) failure.getCause()).code()).isEqualTo(ResultCode.PEER_LOST);
            slowCallsEnd.countDown();
            assertThat(newReply.get(LONG_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(SLOW + "-new");
        }
    }

    /** Guards against taking a peer of an earlier version, which knows no keep-alives, for silent. */
    @Test
    void errorRepliesToKeepAlivesCountAsReceivedData() throws Exception
    {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                PeerLink link = new PeerLink(loops, (InetSocketAddress) listener.getLocalSocketAddress(),
                        events, new Metrics(), FAST_CHECKS))
        {
            Thread.ofVirtual().start(() -> serveLikeEarlierVersion(listener));
            assertThat(call(link, "late", LONG_MILLIS)).isEqualTo("late");
        }
    }

    /** Answers the call after several silence limits, and each other frame with an error reply. */
    private static void serveLikeEarlierVersion(ServerSocket listener)
    {
        try (Socket socket = listener.accept())
        {
            DataInputStream input = new DataInputStream(socket.getInputStream());
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            Frame call = readFrame(input);
            for (int i = 0; i < 3 * FAST_CHECKS.maxSilentChecks(); i++)
            {
                Frame unknown = readFrame(input);
                writeFrame(output, Frame.newBuilder().setCallId(unknown.getCallId()).setError(ErrorReply
                        .newBuilder().setCode(ResultCode.PEER_BAD_CALL.number()).setMessage("unexpected")));
            }
            writeFrame(output, Frame.newBuilder().setCallId(call.getCallId())
                    .setPingReply(PingReply.newBuilder().setStatus(call.getPing().getStatus())));
            readFrame(input);
        }
        catch (EOFException e)
        {
            // the link was closed
        }
        catch (IOException e)
        {
            throw new AssertionError(e);
        }
    }

    private static Frame readFrame(DataInputStream input) throws IOException
    {
        return Frame.parseFrom(input.readNBytes(input.readInt()));
    }

    private static void writeFrame(DataOutputStream output, Frame.Builder frame) throws IOException
    {
        byte[] bytes = frame.build().toByteArray();
        output.writeInt(bytes.length);
        output.write(bytes);
        output.flush();
    }
}
