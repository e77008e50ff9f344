/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** Guards against one timeout for each idle connection after all of them have fallen silent. */
class HttpConnectionPoolTest
{
    private static final int CONNECTIONS = 3;
    private static final int CONNECT_MILLIS = 2_000;
    private static final int TIMEOUT_MILLIS = 300;
    private static final int ANSWER_MILLIS = 10_000;
    private static final int MAX_RESPONSE_BYTES = 1_000;

    private final NetLoops loops = new NetLoops(Optional.empty());
    private SilenceableServer server;
    private HttpConnectionPool pool;

    @BeforeEach
    void listen() throws IOException
    {
        server = new SilenceableServer();
        pool = new HttpConnectionPool(loops, server.address(), CONNECTIONS);
    }

    @AfterEach
    void close() throws IOException
    {
        pool.close();
        server.close();
        loops.close();
    }

    private static void exchange(HttpConnection connection, String path, int timeoutMillis)
            throws InterruptedException
    {
        connection.exchange(new HttpRequest("GET", path, "", new DefaultHttpHeaders(), new byte[0]),
                SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis), MAX_RESPONSE_BYTES);
    }

    private void call(int timeoutMillis) throws InterruptedException
    {
        HttpConnection connection = pool.acquire(CONNECT_MILLIS);
        try
        {
            exchange(connection, "/", timeoutMillis);
        }
        finally
        {
            pool.release(connection, true);
        }
    }

    private void timeOut(HttpConnection connection)
    {
        assertThat(assertThrows(GaugehollowException.class, () -> exchange(connection, "/", TIMEOUT_MILLIS))
                .code()).isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
    }

    private static void exchangeHeld(HttpConnection connection)
    {
        try
        {
            exchange(connection, "/held", ANSWER_MILLIS);
        }
        catch (InterruptedException e)
        {
            throw new IllegalStateException(e);
        }
    }

    /** Acquires new connections, each of which has answered once. */
    private List<HttpConnection> openConnections(int count) throws InterruptedException
    {
        List<HttpConnection> opened = new ArrayList<>();
        for (int i = 0; i < count; i++)
        {
            HttpConnection connection = pool.acquire(CONNECT_MILLIS);
            exchange(connection, "/", ANSWER_MILLIS);
            opened.add(connection);
        }
        return opened;
    }

    @Test
    void silentConnectionsCostOneTimeoutTogether() throws InterruptedException
    {
        openConnections(CONNECTIONS).forEach(connection -> pool.release(connection, true));
        server.silenceConnections();
        assertThat(assertThrows(GaugehollowException.class, () -> call(TIMEOUT_MILLIS)).code())
                .isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
        for (int i = 0; i < CONNECTIONS; i++)
        {
            call(ANSWER_MILLIS);
        }
        assertThat(server.acceptedConnections()).isEqualTo(CONNECTIONS + 1);
    }

    @Test
    void aConnectionThatAnsweredDuringTheTimeoutIsReused() throws InterruptedException
    {
        List<HttpConnection> opened = openConnections(2);
        server.silence(0);
        server.awaitRequests(opened.size());
        CompletableFuture<Void> timedOut = CompletableFuture.runAsync(() -> timeOut(opened.getFirst()));
        server.awaitRequests(1);
        exchange(opened.getLast(), "/", ANSWER_MILLIS);
        pool.release(opened.getLast(), true);
        timedOut.join();
        pool.release(opened.getFirst(), true);
        call(ANSWER_MILLIS);
        assertThat(server.acceptedConnections()).isEqualTo(2);
    }

    @Test
    void aCallInProgressOutlivesTheTimeoutOfAnother() throws InterruptedException
    {
        List<HttpConnection> opened = openConnections(2);
        server.silence(0);
        server.awaitRequests(opened.size());
        CompletableFuture<Void> inProgress = CompletableFuture.runAsync(() -> exchangeHeld(opened.getLast()));
        server.awaitRequests(1);
        timeOut(opened.getFirst());
        pool.release(opened.getFirst(), true);
        server.answerHeldRequests();
        inProgress.join();
        pool.release(opened.getLast(), true);
        call(ANSWER_MILLIS);
        assertThat(server.acceptedConnections()).isEqualTo(2);
    }

    @Test
    void aConnectionTakenBeforeTheTimeoutAndReturnedUnusedIsNotReused() throws InterruptedException
    {
        List<HttpConnection> opened = openConnections(2);
        server.silenceConnections();
        timeOut(opened.getFirst());
        pool.release(opened.getFirst(), true);
        pool.release(opened.getLast(), true);
        call(ANSWER_MILLIS);
        assertThat(server.acceptedConnections()).isEqualTo(opened.size() + 1);
    }

    @Test
    void withoutATimeoutIdleConnectionsAreReused() throws InterruptedException
    {
        openConnections(CONNECTIONS).forEach(connection -> pool.release(connection, true));
        for (int i = 0; i < CONNECTIONS; i++)
        {
            call(ANSWER_MILLIS);
        }
        assertThat(server.acceptedConnections()).isEqualTo(CONNECTIONS);
    }
}
