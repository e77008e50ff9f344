/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers that stay connected, but send or read nothing more, and hold a request in
 * flight forever.
 */
class SilentCallerTest
{
    private static final int IDLE_MILLIS = 500;
    private static final int STALLED_WRITE_MILLIS = 600;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final int MAX_WAIT_MILLIS = 10_000;
    private static final Duration MAX_CLOSE_DURATION = Duration.ofSeconds(5);
    private static final int POLL_MILLIS = 10;
    private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
    /** Exceeds the socket buffers of both sides. */
    private static final int LARGE_BODY_BYTES = 32 << 20;
    private static final int SLOWLY_READ_BODY_BYTES = 512 << 10;
    private static final int SLOW_READ_BYTES = 16 << 10;
    private static final int SLOW_READ_INTERVAL_MILLIS = 100;
    private static final int END_OF_STREAM = -1;

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final CompletableFuture<ResultCode> streamFailure = new CompletableFuture<>();
    private final HttpServer server = new HttpServer(loops, new InetSocketAddress("127.0.0.1", 0),
            MAX_BODY_BYTES, events, this::handle, new HttpServerTimeouts(IDLE_MILLIS, STALLED_WRITE_MILLIS));

    private void handle(HttpExchange exchange) throws InterruptedException
    {
        switch (exchange.request().path())
        {
            case "/large" -> exchange.respond(replyOf(LARGE_BODY_BYTES));
            case "/slow" -> exchange.respond(replyOf(SLOWLY_READ_BODY_BYTES));
            case "/stream" -> streamUntilClosed(exchange);
            default -> exchange.respond(replyOf(1));
        }
    }

    private static HttpReply replyOf(int bodyBytes)
    {
        return HttpReply.of(200, "text/plain", new byte[bodyBytes]);
    }

    private void streamUntilClosed(HttpExchange exchange) throws InterruptedException
    {
        try
        {
            exchange.startLines();
            while (exchange.isOpen())
            {
                exchange.writeLine(new byte[SLOW_READ_BYTES]);
            }
        }
        catch (GaugehollowException e)
        {
            streamFailure.complete(e.code());
        }
    }

    @AfterEach
    void close()
    {
        server.close();
        loops.close();
    }

    private Socket connect() throws IOException
    {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(MAX_WAIT_MILLIS);
        socket.connect(server.address());
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException
    {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void request(Socket socket, String path) throws IOException
    {
        send(socket, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    /**
     * Waits for a number of requests in flight and returns the number after at most the maximum wait.
     */
    private int awaitInFlight(int expected) throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
        while (server.inFlight() != expected && SteadyClock.nanos() - deadline < 0)
        {
            Thread.sleep(POLL_MILLIS);
        }
        return server.inFlight();
    }

    private long stalledCallers()
    {
        return events.since(0).stream().filter(event -> event.number() == EventType.CALLER_STALLED.number())
                .count();
    }

    @Test
    void aResponseThatIsNotReadEndsItsRequest() throws Exception
    {
        try (Socket caller = connect())
        {
            request(caller, "/large");
            assertThat(awaitInFlight(1)).isEqualTo(1);
            assertThat(awaitInFlight(0)).isEqualTo(0);
            assertThat(stalledCallers()).isEqualTo(1);
        }
    }

    @Test
    void aPlannedStopWaitsForAResponseThatIsNotReadOnlyWithinItsTimeLimit() throws Exception
    {
        try (Socket caller = connect())
        {
            request(caller, "/large");
            assertThat(awaitInFlight(1)).isEqualTo(1);
            server.stopAccepting();
            assertThat(awaitInFlight(0)).isEqualTo(0);
        }
    }

    @Test
    void aStreamThatIsNotReadEnds() throws Exception
    {
        try (Socket caller = connect())
        {
            request(caller, "/stream");
            assertThat(streamFailure.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS))
                    .isEqualTo(ResultCode.PEER_LOST);
        }
    }

    @Test
    void aSlowlyReadResponseIsCompleted() throws Exception
    {
        try (Socket caller = connect())
        {
            long startNanos = SteadyClock.nanos();
            request(caller, "/slow");
            assertThat(readSlowly(caller.getInputStream())).isAtLeast(SLOWLY_READ_BODY_BYTES);
            assertThat(SteadyClock.nanos() - startNanos)
                    .isGreaterThan(TimeUnit.MILLISECONDS.toNanos(2 * STALLED_WRITE_MILLIS));
            assertThat(stalledCallers()).isEqualTo(0);
        }
    }

    /** Returns the number of bytes until the connection is closed, which it is once it is idle. */
    private static int readSlowly(InputStream input) throws IOException, InterruptedException
    {
        int total = 0;
        int count = input.readNBytes(SLOW_READ_BYTES).length;
        while (count > 0)
        {
            total += count;
            Thread.sleep(SLOW_READ_INTERVAL_MILLIS);
            count = input.readNBytes(SLOW_READ_BYTES).length;
        }
        return total;
    }

    @Test
    void aHalfSentHeaderIsClosedAfterTheIdleTimeout() throws Exception
    {
        assertClosedAfter("POST / HTTP/1.1\r\nHost: ");
    }

    @Test
    void aHalfSentBodyIsClosedAfterTheIdleTimeout() throws Exception
    {
        assertClosedAfter("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
    }

    @Test
    void aConnectionWithoutARequestIsClosedAfterTheIdleTimeout() throws Exception
    {
        assertClosedAfter("");
    }

    private void assertClosedAfter(String sent) throws IOException
    {
        try (Socket caller = connect())
        {
            send(caller, sent);
            assertThat(caller.getInputStream().read()).isEqualTo(END_OF_STREAM);
            assertThat(server.inFlight()).isEqualTo(0);
        }
    }

    @Test
    void aHalfSentOversizedBodyIsRejectedAndClosed() throws Exception
    {
        try (Socket caller = connect())
        {
            send(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\nhalf");
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(answer).contains(Integer.toString(ResultCode.BODY_TOO_LARGE.number()));
        }
    }

    @Test
    void aHalfSentRequestDoesNotDelayAPlannedStop() throws Exception
    {
        try (Socket caller = connect())
        {
            request(caller, "/");
            assertThat(caller.getInputStream().read()).isNotEqualTo(END_OF_STREAM);
            send(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
            server.stopAccepting();
            assertThat(awaitInFlight(0)).isEqualTo(0);
            assertTimeoutPreemptively(MAX_CLOSE_DURATION, server::close);
        }
    }

    @Test
    void closingTheServerEndsAResponseThatIsNotRead() throws Exception
    {
        try (Socket caller = connect())
        {
            request(caller, "/large");
            assertThat(awaitInFlight(1)).isEqualTo(1);
            assertTimeoutPreemptively(MAX_CLOSE_DURATION, server::close);
            assertThat(awaitInFlight(0)).isEqualTo(0);
        }
    }
}
