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

/** Requests that reach a box which the store does not answer are answered over its peers. */
class CallerRelayTest
{
    private static final HttpMessage REQUEST = new HttpMessage("POST", "/queue/00000000000000aa", "a=b",
            new DefaultHttpHeaders().set("Host", "queue.example").set("Content-Type", "application/json"),
            "{}".getBytes(StandardCharsets.UTF_8));

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final AtomicLong clock = new AtomicLong();
    private final Map<String, CallerRelay.Peer> peers = new LinkedHashMap<>();
    private final List<String> asked = new ArrayList<>();

    private CallerRelay relay(CallerService own)
    {
        return new CallerRelay(own, () -> peers, events, clock::get);
    }

    private static CallerService refusing(ResultCode code)
    {
        return request ->
        {
            throw new GaugehollowException(code, "own");
        };
    }

    private void addRefusingPeer(String name, ResultCode code)
    {
        peers.put(name, request ->
        {
            asked.add(name);
            throw new GaugehollowException(code, name);
        });
    }

    private void addAnsweringPeer(String name)
    {
        peers.put(name, request ->
        {
            asked.add(name);
            return HttpReply.of(200, "application/json", name.getBytes(StandardCharsets.UTF_8));
        });
    }

    private static ResultCode refusal(CallerRelay relay)
    {
        return assertThrows(GaugehollowException.class, () -> relay.answer(REQUEST)).code();
    }

    @Test
    void aPeerAnswersWhatThisBoxCannot() throws InterruptedException
    {
        addAnsweringPeer("bole-2");
        HttpReply reply = relay(refusing(ResultCode.STORE_UNAVAILABLE)).answer(REQUEST);
        assertThat(new String(reply.body(), StandardCharsets.UTF_8)).isEqualTo("bole-2");
    }

    @Test
    void aPeerIsNotAskedWhereItCannotHelp()
    {
        addAnsweringPeer("bole-2");
        assertThat(refusal(relay(refusing(ResultCode.UNKNOWN_JOB)))).isEqualTo(ResultCode.UNKNOWN_JOB);
        assertThat(asked).isEmpty();
    }

    @Test
    void aRequestThatMayHaveRunIsNeverToldAsNotRun()
    {
        addRefusingPeer("bole-2", ResultCode.STORE_UNAVAILABLE);
        assertThat(refusal(relay(refusing(ResultCode.STORE_OUTCOME_UNKNOWN))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    @Test
    void aRequestLostWithAPeerMayHaveRun()
    {
        addRefusingPeer("bole-2", ResultCode.PEER_LOST);
        addRefusingPeer("bole-3", ResultCode.STORE_UNAVAILABLE);
        assertThat(refusal(relay(refusing(ResultCode.STORE_UNAVAILABLE))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(asked).containsExactly("bole-2", "bole-3");
    }

    @Test
    void aRequestThatSurelyReachedNoPeerWasNotRun()
    {
        addRefusingPeer("bole-2", ResultCode.PEER_UNREACHABLE);
        assertThat(refusal(relay(refusing(ResultCode.STORE_UNAVAILABLE))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void aPeerThatDidNotHelpIsLeftOutForAWhile()
    {
        addRefusingPeer("bole-2", ResultCode.PEER_UNREACHABLE);
        CallerRelay relay = relay(refusing(ResultCode.STORE_UNAVAILABLE));
        refusal(relay);
        refusal(relay);
        assertThat(asked).containsExactly("bole-2");
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_001));
        refusal(relay);
        assertThat(asked).containsExactly("bole-2", "bole-2");
    }

    @Test
    void theWholeRequestAndTheWholeAnswerPassBetweenBoxes() throws InterruptedException
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
                call -> RelayPeer.handle(call.getRelay(), service));
                PeerLink link = new PeerLink(loops, server.address(), events, new Metrics()))
        {
            HttpReply reply = new RelayPeer(link).answer(REQUEST);
            assertThat(reply.status()).isEqualTo(200);
            assertThat(new String(reply.body(), StandardCharsets.UTF_8))
                    .isEqualTo("POST /queue/00000000000000aa?a=b queue.example {}");
            HttpMessage unknown = new HttpMessage("DELETE", "/queue/x", "", new DefaultHttpHeaders(),
                    new byte[0]);
            assertThat(assertThrows(GaugehollowException.class, () -> new RelayPeer(link).answer(unknown))
                    .code()).isEqualTo(ResultCode.UNKNOWN_JOB);
        }
        finally
        {
            loops.close();
        }
    }

    @Test
    void aRefusalThatNoPeerCouldAvoidEndsTheConnectionAndSaysWhenToComeBack() throws InterruptedException
    {
        NetLoops loops = new NetLoops(Optional.empty());
        try (HttpServer server = new HttpServer(loops, new InetSocketAddress("127.0.0.1", 0), 1_000, events,
                relay(refusing(ResultCode.STORE_UNAVAILABLE)));
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
