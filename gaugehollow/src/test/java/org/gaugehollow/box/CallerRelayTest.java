/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpServer;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.peer.PeerServer;
import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** Guards against failing requests that a peer could answer, and against wrong outcome reports. */
class CallerRelayTest
{
    private static final HttpMessage REQUEST = new HttpMessage("POST", "/queue/00000000000000aa", "a=b",
            new DefaultHttpHeaders().set("Host", "queue.example").set("Content-Type", "application/json"),
            "{}".getBytes(StandardCharsets.UTF_8));

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final AtomicLong clock = new AtomicLong();
    private final Map<String, CallerRelay.Peer> peers = new LinkedHashMap<>();
    private final List<String> calledPeers = new ArrayList<>();

    private CallerRelay relay(CallerService localService)
    {
        return new CallerRelay(localService, () -> peers, events, clock::get);
    }

    private static CallerService rejecting(ResultCode code)
    {
        return request ->
        {
            throw new GaugehollowException(code, "own");
        };
    }

    private void addRejectingPeer(String name, ResultCode code)
    {
        peers.put(name, request ->
        {
            calledPeers.add(name);
            throw new GaugehollowException(code, name);
        });
    }

    private void addAnsweringPeer(String name)
    {
        peers.put(name, request ->
        {
            calledPeers.add(name);
            return HttpReply.of(200, "application/json", name.getBytes(StandardCharsets.UTF_8));
        });
    }

    private static ResultCode failureCode(CallerRelay relay)
    {
        return assertThrows(GaugehollowException.class, () -> relay.answer(REQUEST)).code();
    }

    @Test
    void requestIsRelayedWhenStoreIsUnavailable() throws InterruptedException
    {
        addAnsweringPeer("bole-2");
        HttpReply reply = relay(rejecting(ResultCode.STORE_UNAVAILABLE)).answer(REQUEST);
        assertThat(new String(reply.body(), StandardCharsets.UTF_8)).isEqualTo("bole-2");
    }

    @Test
    void requestIsNotRelayedWhenPeerCannotHelp()
    {
        addAnsweringPeer("bole-2");
        assertThat(failureCode(relay(rejecting(ResultCode.UNKNOWN_JOB)))).isEqualTo(ResultCode.UNKNOWN_JOB);
        assertThat(calledPeers).isEmpty();
    }

    @Test
    void unknownLocalOutcomeIsNotReportedAsNotRun()
    {
        addRejectingPeer("bole-2", ResultCode.STORE_UNAVAILABLE);
        assertThat(failureCode(relay(rejecting(ResultCode.STORE_OUTCOME_UNKNOWN))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    @Test
    void lostPeerConnectionLeavesOutcomeUnknown()
    {
        addRejectingPeer("bole-2", ResultCode.PEER_LOST);
        addRejectingPeer("bole-3", ResultCode.STORE_UNAVAILABLE);
        assertThat(failureCode(relay(rejecting(ResultCode.STORE_UNAVAILABLE))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(calledPeers).containsExactly("bole-2", "bole-3");
    }

    @Test
    void unreachablePeerLeavesRequestNotRun()
    {
        addRejectingPeer("bole-2", ResultCode.PEER_UNREACHABLE);
        assertThat(failureCode(relay(rejecting(ResultCode.STORE_UNAVAILABLE))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void failedPeerIsSkippedDuringBackoff()
    {
        addRejectingPeer("bole-2", ResultCode.PEER_UNREACHABLE);
        CallerRelay relay = relay(rejecting(ResultCode.STORE_UNAVAILABLE));
        failureCode(relay);
        failureCode(relay);
        assertThat(calledPeers).containsExactly("bole-2");
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_001));
        failureCode(relay);
        assertThat(calledPeers).containsExactly("bole-2", "bole-2");
    }

    @Test
    void relayPreservesRequestAndReply() throws InterruptedException
    {
        CallerService service = request ->
        {
            if ("DELETE".equals(request.method()))
            {
                throw new GaugehollowException(ResultCode.UNKNOWN_JOB, "no such job");
            }
            String seen = request.method() + ' ' + request.path() + '?' + request.query() + ' '
                    + request.header("host").orElse("") + ' '
                    + new String(request.body(), StandardCharsets.UTF_8);
            return HttpReply.of(200, "text/plain", seen.getBytes(StandardCharsets.UTF_8));
        };
        NetLoops loops = new NetLoops(Optional.empty());
        try (PeerServer server = new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), events,
                call -> PeerRelay.handle(call.getRelay(), service));
                PeerLink link = new PeerLink(loops, server.address(), events, new Metrics()))
        {
            HttpReply reply = new PeerRelay(link).answer(REQUEST);
            assertThat(reply.status()).isEqualTo(200);
            assertThat(new String(reply.body(), StandardCharsets.UTF_8))
                    .isEqualTo("POST /queue/00000000000000aa?a=b queue.example {}");
            HttpMessage unknown = new HttpMessage("DELETE", "/queue/x", "", new DefaultHttpHeaders(),
                    new byte[0]);
            assertThat(assertThrows(GaugehollowException.class, () -> new PeerRelay(link).answer(unknown))
                    .code()).isEqualTo(ResultCode.UNKNOWN_JOB);
        }
        finally
        {
            loops.close();
        }
    }

    @Test
    void failureOnAllPeersClosesConnectionWithRetryAfter() throws InterruptedException
    {
        NetLoops loops = new NetLoops(Optional.empty());
        try (HttpServer server = new HttpServer(loops, new InetSocketAddress("127.0.0.1", 0), 1_000, events,
                relay(rejecting(ResultCode.STORE_UNAVAILABLE)));
                HttpCaller caller = new HttpCaller(loops, server.address()))
        {
            HttpReply reply = caller.call("POST", "/queue/00000000000000aa", new byte[0], 5_000);
            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.headers().get("Connection")).isEqualTo("close");
            assertThat(reply.headers().get("Retry-After")).isNotNull();
        }
        finally
        {
            loops.close();
        }
    }
}
