/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against failed calls that are reported as not sent although the server may have handled
 * them.
 */
class HttpCallerOutcomeTest
{
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final byte[] NO_BODY = new byte[0];

    private final NetLoops serverLoops = new NetLoops(Optional.empty());
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final AtomicInteger handled = new AtomicInteger();
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch proceed = new CountDownLatch(1);
    private final HttpServer server = new HttpServer(serverLoops, new InetSocketAddress("127.0.0.1", 0),
            MAX_BODY_BYTES, events, this::handle);
    private final HttpCaller caller = new HttpCaller(loops, server.address());

    private void handle(HttpExchange exchange) throws InterruptedException
    {
        handled.incrementAndGet();
        switch (exchange.request().path())
        {
            case "/held" -> {
                reached.countDown();
                assertThat(proceed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
            }
            case "/cut" -> {
                exchange.abort();
                return;
            }
            default -> {
                // responds immediately
            }
        }
        exchange.respond(HttpReply.of(200, "text/plain", NO_BODY));
    }

    @AfterEach
    void close()
    {
        proceed.countDown();
        caller.close();
        loops.close();
        server.close();
        serverLoops.close();
    }

    private ResultCode failureCodeOf(String path)
    {
        return assertThrows(GaugehollowException.class,
                () -> caller.call("POST", path, NO_BODY, TIMEOUT_MILLIS)).code();
    }

    @Test
    void aPendingCallHasAnUnknownOutcomeWhenTheEventLoopsClose() throws InterruptedException
    {
        Thread closing = Thread.ofVirtual().start(() ->
        {
            try
            {
                reached.await();
                loops.close();
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
        assertThat(failureCodeOf("/held").outcome()).isEqualTo(Outcome.UNKNOWN);
        closing.join();
        assertThat(handled.get()).isEqualTo(1);
    }

    @Test
    void aCallAfterTheEventLoopsCloseIsNotSent() throws InterruptedException
    {
        caller.call("POST", "/", NO_BODY, TIMEOUT_MILLIS);
        loops.close();
        assertThat(failureCodeOf("/")).isEqualTo(ResultCode.UPSTREAM_REFUSED);
        assertThat(handled.get()).isEqualTo(1);
    }

    @Test
    void aCallHasAnUnknownOutcomeWhenAReusedConnectionIsLost() throws InterruptedException
    {
        caller.call("POST", "/", NO_BODY, TIMEOUT_MILLIS);
        assertThat(failureCodeOf("/cut")).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(handled.get()).isEqualTo(2);
    }

    @Test
    void interruptingTheThreadEndsTheCall() throws InterruptedException
    {
        AtomicInteger interrupted = new AtomicInteger();
        Thread calling = Thread.ofVirtual().start(() ->
        {
            try
            {
                caller.call("POST", "/held", NO_BODY, TIMEOUT_MILLIS);
            }
            catch (InterruptedException e)
            {
                interrupted.incrementAndGet();
            }
        });
        assertThat(reached.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        calling.interrupt();
        calling.join();
        assertThat(interrupted.get()).isEqualTo(1);
    }
}
