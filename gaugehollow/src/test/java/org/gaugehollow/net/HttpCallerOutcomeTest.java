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

/** What a failed call says of its request: "not sent" only where nothing was. */
class HttpCallerOutcomeTest
{
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final int LARGEST_BODY = 1_000;
    private static final byte[] NO_BODY = new byte[0];

    private final NetLoops serverLoops = new NetLoops(Optional.empty());
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final AtomicInteger handled = new AtomicInteger();
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch goOn = new CountDownLatch(1);
    private final HttpServer server = new HttpServer(serverLoops, new InetSocketAddress("127.0.0.1", 0),
            LARGEST_BODY, events, this::handle);
    private final HttpCaller caller = new HttpCaller(loops, server.address());

    private void handle(HttpExchange exchange) throws InterruptedException
    {
        handled.incrementAndGet();
        switch (exchange.request().path())
        {
            case "/held" -> {
                reached.countDown();
                assertThat(goOn.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
            }
            case "/cut" -> {
                exchange.abort();
                return;
            }
            default -> {
                // answered at once
            }
        }
        exchange.respond(HttpReply.of(200, "text/plain", NO_BODY));
    }

    @AfterEach
    void end()
    {
        goOn.countDown();
        caller.close();
        loops.close();
        server.close();
        serverLoops.close();
    }

    private ResultCode codeOf(String path)
    {
        return assertThrows(GaugehollowException.class,
                () -> caller.call("POST", path, NO_BODY, TIMEOUT_MILLIS)).code();
    }

    @Test
    void aCallUnderWayWhenTheEventLoopsCloseMayHaveBeenDone() throws InterruptedException
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
        assertThat(codeOf("/held").outcome()).isEqualTo(Outcome.UNKNOWN);
        closing.join();
        assertThat(handled.get()).isEqualTo(1);
    }

    @Test
    void aCallAfterTheEventLoopsClosedSendsNothing() throws InterruptedException
    {
        caller.call("POST", "/", NO_BODY, TIMEOUT_MILLIS);
        loops.close();
        assertThat(codeOf("/")).isEqualTo(ResultCode.UPSTREAM_REFUSED);
        assertThat(handled.get()).isEqualTo(1);
    }

    @Test
    void aCallOnAConnectionThatWasUsedBeforeMayHaveBeenDoneWhereItEnds() throws InterruptedException
    {
        caller.call("POST", "/", NO_BODY, TIMEOUT_MILLIS);
        assertThat(codeOf("/cut")).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(handled.get()).isEqualTo(2);
    }

    @Test
    void aCallOfAnInterruptedThreadEndsWithoutAnyPromise() throws InterruptedException
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
