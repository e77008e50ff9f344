/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.util.concurrent.EventExecutor;

/** Guards against calls that wait forever for a server that reads nothing and stays connected. */
class SilentServerTest
{
    private static final int TIMEOUT_MILLIS = 400;
    private static final Duration MAX_DURATION = Duration.ofSeconds(10);
    private static final int MAX_RESPONSE_BYTES = 1_000;
    private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
    /** Exceeds the socket buffers of both sides. */
    private static final int LARGE_BODY_BYTES = 32 << 20;
    private static final int MAX_QUEUED_CONNECTIONS = 10;
    private static final int OK = 200;
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final HttpRequest LARGE_REQUEST = new HttpRequest("POST", "/", "",
            new DefaultHttpHeaders(), new byte[LARGE_BODY_BYTES]);
    private static final HttpRequest SMALL_REQUEST = new HttpRequest("POST", "/", "",
            new DefaultHttpHeaders(), new byte[0]);

    private final NetLoops loops = new NetLoops(Optional.empty());
    private ServerSocket server;
    private HttpClient client;

    @BeforeEach
    void listen() throws IOException
    {
        server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        client = new HttpClient(loops, (InetSocketAddress) server.getLocalSocketAddress());
    }

    @AfterEach
    void close() throws IOException
    {
        client.close();
        server.close();
        loops.close();
    }

    private static ResultCode codeOfFailure(Executable call)
    {
        return assertTimeoutPreemptively(MAX_DURATION,
                () -> assertThrows(GaugehollowException.class, call).code());
    }

    private static long deadline()
    {
        return SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    }

    @Test
    void aLargeRequestThatIsNotReadTimesOut()
    {
        assertThat(codeOfFailure(() -> client.call(LARGE_REQUEST, TIMEOUT_MILLIS)))
                .isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
    }

    @Test
    void aLargeRequestThatIsNotReadTimesOutWithAnIdleTimeout()
    {
        int totalMillis = (int) MAX_DURATION.toMillis() * 2;
        assertThat(
                codeOfFailure(() -> client.callWithIdleTimeout(LARGE_REQUEST, TIMEOUT_MILLIS, totalMillis)))
                .isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
    }

    @Test
    void aLargeConditionalRequestThatIsNotReadTimesOut() throws InterruptedException
    {
        try (HttpConnection connection = client.openConnection(TIMEOUT_MILLIS))
        {
            assertThat(codeOfFailure(
                    () -> connection.exchangeIf(() -> true, LARGE_REQUEST, deadline(), MAX_RESPONSE_BYTES)))
                    .isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
            assertThat(connection.isReusable()).isFalse();
        }
    }

    @Test
    void aLargeStreamRequestThatIsNotReadTimesOut() throws InterruptedException
    {
        try (HttpConnection connection = client.openConnection(TIMEOUT_MILLIS))
        {
            assertThat(codeOfFailure(() -> connection.openStream(LARGE_REQUEST, deadline())))
                    .isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
        }
    }

    @Test
    void aStreamThatFallsSilentTimesOut() throws IOException, InterruptedException
    {
        try (HttpConnection connection = client.openConnection(TIMEOUT_MILLIS);
                Socket accepted = server.accept())
        {
            FutureTask<Void> response = new FutureTask<>(() -> sendHeadAfterRequest(accepted));
            Thread.ofVirtual().start(response);
            assertThat(connection.openStream(SMALL_REQUEST, deadline()).status()).isEqualTo(OK);
            assertThat(codeOfFailure(() -> connection.readChunk(deadline(), false)))
                    .isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
        }
    }

    /** Data that arrives before the request would close the connection. */
    private static Void sendHeadAfterRequest(Socket accepted) throws IOException
    {
        accepted.getInputStream().read();
        accepted.getOutputStream().write(STREAM_HEAD.getBytes(StandardCharsets.US_ASCII));
        return null;
    }

    /** Connection attempts get no answer while the accept queue of the server is full. */
    @Test
    void aConnectionAttemptWithoutAnAnswerTimesOut() throws IOException, InterruptedException
    {
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient refused = new HttpClient(loops, (InetSocketAddress) full.getLocalSocketAddress()))
        {
            fillAcceptQueue(full, queued);
            assertThat(codeOfFailure(() -> refused.call(SMALL_REQUEST, TIMEOUT_MILLIS)))
                    .isEqualTo(ResultCode.UPSTREAM_REFUSED);
        }
        finally
        {
            for (Socket socket : queued)
            {
                socket.close();
            }
        }
    }

    private static void fillAcceptQueue(ServerSocket full, List<Socket> queued) throws IOException
    {
        try
        {
            while (queued.size() < MAX_QUEUED_CONNECTIONS)
            {
                Socket socket = new Socket();
                queued.add(socket);
                socket.connect(full.getLocalSocketAddress(), TIMEOUT_MILLIS);
            }
        }
        catch (SocketTimeoutException e)
        {
            // the queue is full
        }
    }

    /** A request that the event loop had no time for before the deadline is not sent later. */
    @Test
    void aConditionalRequestOnABusyEventLoopIsNotSentAfterItsDeadline() throws InterruptedException
    {
        CountDownLatch blocked = new CountDownLatch(1);
        AtomicBoolean evaluated = new AtomicBoolean();
        try (HttpConnection connection = client.openConnection(TIMEOUT_MILLIS))
        {
            for (EventExecutor loop : loops.group())
            {
                loop.execute(() -> awaitUninterruptibly(blocked));
            }
            assertThat(codeOfFailure(() -> connection.exchangeIf(() -> !evaluated.getAndSet(true),
                    SMALL_REQUEST, deadline(), MAX_RESPONSE_BYTES))).isEqualTo(ResultCode.UPSTREAM_REFUSED);
            blocked.countDown();
            for (EventExecutor loop : loops.group())
            {
                assertThat(loop.submit(() ->
                {
                }).await(MAX_DURATION.toMillis())).isTrue();
            }
            assertThat(evaluated.get()).isFalse();
        }
        finally
        {
            blocked.countDown();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch)
    {
        try
        {
            latch.await();
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }
}
