/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.time.SteadyClock;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;

/** Sends requests to one HTTP server over pooled connections. Thread-safe. */
public final class HttpCaller implements AutoCloseable
{
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final int MAX_IDLE_CONNECTIONS = 2;

    private final NetLoops loops;
    private final InetSocketAddress target;
    private final HttpConnectionPool connections;

    /**
     * @param loops the event loops
     * @param target the server's address
     */
    public HttpCaller(NetLoops loops, InetSocketAddress target)
    {
        this.loops = loops;
        this.target = target;
        this.connections = new HttpConnectionPool(loops, target, MAX_IDLE_CONNECTIONS);
    }

    /** @return the server's address */
    public InetSocketAddress target()
    {
        return target;
    }

    /**
     * Sends a JSON request and waits for the complete response.
     *
     * @param method the HTTP method
     * @param path the path, with an optional query
     * @param body the body, empty for none
     * @param timeoutMillis total timeout in milliseconds
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpReply call(String method, String path, byte[] body, int timeoutMillis)
            throws InterruptedException
    {
        int queryStart = path.indexOf('?');
        HttpMessage request = new HttpMessage(method, queryStart < 0 ? path : path.substring(0, queryStart),
                queryStart < 0 ? "" : path.substring(queryStart + 1),
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpReply.JSON_TYPE), body);
        return call(request, timeoutMillis);
    }

    /**
     * Sends a request and waits for the complete response.
     *
     * @param request the request
     * @param timeoutMillis total timeout in milliseconds
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpReply call(HttpMessage request, int timeoutMillis) throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        HttpConnection connection = connections.acquire(timeoutMillis);
        try
        {
            return connection.exchange(request, deadline, MAX_RESPONSE_BYTES);
        }
        finally
        {
            connections.release(connection, true);
        }
    }

    /**
     * Sends a request and waits for the complete response with an idle timeout, for responses that may
     * be large.
     *
     * @param request the request
     * @param idleMillis timeout for the connection, the headers and each body chunk, in milliseconds
     * @param timeoutMillis total timeout in milliseconds
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpReply callWithIdleTimeout(HttpMessage request, int idleMillis, int timeoutMillis)
            throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        HttpConnection connection = connections.acquire(idleMillis);
        try
        {
            return connection.exchangeWithIdleTimeout(request, TimeUnit.MILLISECONDS.toNanos(idleMillis),
                    deadline, MAX_RESPONSE_BYTES);
        }
        finally
        {
            connections.release(connection, true);
        }
    }

    /**
     * Opens a connection outside the pool, for a streamed response.
     *
     * @param timeoutMillis connect timeout in milliseconds
     * @return the connection, to be closed by the caller
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpConnection openOwn(int timeoutMillis) throws InterruptedException
    {
        return HttpConnection.open(loops, target, timeoutMillis);
    }

    @Override
    public void close()
    {
        connections.close();
    }
}
