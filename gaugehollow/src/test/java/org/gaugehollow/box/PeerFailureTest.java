/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** Guards against wrong outcome reports when a peer fails before or after its write. */
class PeerFailureTest
{
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final StoreTransaction WRITE = new StoreTransaction().require("job", 0).put("job",
            new byte[]{1});
    private static final long MAX_WAIT_SECONDS = 5;

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final FakeStore store = new FakeStore();
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch resume = new CountDownLatch(1);

    @AfterEach
    void close()
    {
        resume.countDown();
        loops.close();
    }

    private PeerServer peer(CallerService service)
    {
        return new PeerServer(loops, ANY_PORT, events, call -> PeerRelay.handle(call.getRelay(), service));
    }

    private PeerLink link(InetSocketAddress target)
    {
        return new PeerLink(loops, target, events, new Metrics());
    }

    /** Returns the failure code of a request that the local store rejects and a peer handles. */
    private ResultCode relayFailureCode(PeerLink link)
    {
        CallerRelay relay = new CallerRelay(request ->
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "own");
        }, () -> Map.of("peer", new PeerRelay(link)), events, SteadyClock::nanos);
        HttpMessage request = new HttpMessage("POST", "/queue/job", "", new DefaultHttpHeaders(),
                new byte[0]);
        return assertThrows(GaugehollowException.class, () -> relay.answer(request)).code();
    }

    private HttpReply write() throws InterruptedException
    {
        store.commit(WRITE);
        return HttpReply.json(200, Map.of());
    }

    private void await(CountDownLatch latch) throws InterruptedException
    {
        assertThat(latch.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Runs concurrently with a call. */
    private interface Action
    {
        void run() throws InterruptedException;
    }

    private Thread startWhenReached(Action action)
    {
        return Thread.ofVirtual().start(() ->
        {
            try
            {
                await(reached);
                action.run();
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
    }

    @Test
    void peerStoppedAfterWriteLeavesOutcomeUnknown() throws InterruptedException
    {
        CallerService service = request ->
        {
            HttpReply reply = write();
            reached.countDown();
            await(resume);
            return reply;
        };
        try (PeerServer peer = peer(service); PeerLink link = link(peer.address()))
        {
            Thread closing = startWhenReached(peer::close);
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
            closing.join();
            assertThat(store.commits()).isEqualTo(1);
        }
    }

    @Test
    void peerDisconnectedBeforeWriteLeavesOutcomeUnknown() throws Exception
    {
        CountDownLatch written = new CountDownLatch(1);
        CallerService service = request ->
        {
            reached.countDown();
            await(resume);
            HttpReply reply = write();
            written.countDown();
            return reply;
        };
        try (PeerServer peer = peer(service); PeerLink link = link(peer.address()))
        {
            Thread closing = startWhenReached(peer::close);
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
            closing.join();
            assertThat(store.commits()).isEqualTo(0);
            resume.countDown();
            await(written);
            assertThat(store.commits()).isEqualTo(1);
        }
    }

    @Test
    void linkClosedDuringCallLeavesOutcomeUnknown() throws InterruptedException
    {
        CallerService service = request ->
        {
            reached.countDown();
            await(resume);
            return write();
        };
        try (PeerServer peer = peer(service); PeerLink link = link(peer.address()))
        {
            Thread closing = startWhenReached(link::close);
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
            closing.join();
        }
    }

    @Test
    void linkClosedBeforeCallSendsNothing()
    {
        try (PeerServer peer = peer(request -> write()))
        {
            PeerLink link = link(peer.address());
            link.close();
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_UNAVAILABLE);
            assertThat(store.commits()).isEqualTo(0);
        }
    }

    @Test
    void peerTimeoutLeavesOutcomeUnknown() throws InterruptedException
    {
        CallerService service = request ->
        {
            await(resume);
            return write();
        };
        try (PeerServer peer = peer(service); PeerLink link = link(peer.address()))
        {
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        }
    }

    @Test
    void peerExceptionAfterWriteLeavesOutcomeUnknown()
    {
        CallerService service = request ->
        {
            write();
            throw new IllegalStateException("after the write");
        };
        try (PeerServer peer = peer(service); PeerLink link = link(peer.address()))
        {
            assertThat(relayFailureCode(link).outcome()).isEqualTo(Outcome.UNKNOWN);
            assertThat(store.commits()).isEqualTo(1);
        }
    }

    @Test
    void peerErrorAfterWriteLeavesOutcomeUnknown()
    {
        CallerService service = request ->
        {
            write();
            throw new StackOverflowError("after the write");
        };
        try (PeerServer peer = peer(service); PeerLink link = link(peer.address()))
        {
            assertThat(relayFailureCode(link).outcome()).isEqualTo(Outcome.UNKNOWN);
            assertThat(store.commits()).isEqualTo(1);
        }
    }

    @Test
    void interruptedPeerLeavesOutcomeUnknown()
    {
        CallerService service = request ->
        {
            write();
            throw new InterruptedException("interrupted");
        };
        try (PeerServer peer = peer(service); PeerLink link = link(peer.address()))
        {
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        }
    }

    @Test
    void refusedConnectionMeansRequestWasNotSent() throws IOException
    {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")))
        {
            port = unused.getLocalPort();
        }
        try (PeerLink link = link(new InetSocketAddress("127.0.0.1", port)))
        {
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        }
    }

    @Test
    void connectionClosedAfterSendLeavesOutcomeUnknown() throws IOException
    {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                PeerLink link = link((InetSocketAddress) listener.getLocalSocketAddress()))
        {
            Thread.ofVirtual().start(() -> acceptAndClose(listener));
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        }
    }

    private static void acceptAndClose(ServerSocket listener)
    {
        try (Socket socket = listener.accept())
        {
            // receiving a byte shows that the link has started to send
            assertThat(socket.getInputStream().read()).isAtLeast(0);
        }
        catch (IOException e)
        {
            // the test has ended
        }
    }

    /** Covers a link that has been used before and whose peer no longer listens. */
    @Test
    void peerStoppedBetweenCallsHandlesNothing()
    {
        AtomicInteger handled = new AtomicInteger();
        CallerService service = request ->
        {
            handled.incrementAndGet();
            throw new GaugehollowException(ResultCode.UNKNOWN_QUEUE, "asked");
        };
        PeerServer peer = peer(service);
        try (PeerLink link = link(peer.address()))
        {
            assertThat(relayFailureCode(link)).isEqualTo(ResultCode.UNKNOWN_QUEUE);
            peer.close();
            ResultCode code = relayFailureCode(link);
            assertThat(code).isAnyOf(ResultCode.STORE_UNAVAILABLE, ResultCode.STORE_OUTCOME_UNKNOWN);
            assertThat(handled.get()).isEqualTo(1);
        }
    }

    @Test
    void closedEventLoopsLeaveOutcomeOfPendingCallUnknown() throws InterruptedException
    {
        NetLoops callerLoops = new NetLoops(Optional.empty());
        CallerService service = request ->
        {
            HttpReply reply = write();
            reached.countDown();
            await(resume);
            return reply;
        };
        try (PeerServer peer = peer(service);
                PeerLink link = new PeerLink(callerLoops, peer.address(), events, new Metrics()))
        {
            Thread closing = startWhenReached(callerLoops::close);
            assertThat(relayFailureCode(link).outcome()).isEqualTo(Outcome.UNKNOWN);
            closing.join();
        }
    }
}
