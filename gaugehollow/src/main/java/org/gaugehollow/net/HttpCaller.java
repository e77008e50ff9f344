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

/** Asks one HTTP server, over a few connections that are kept open between calls. Thread-safe. */
public final class HttpCaller implements AutoCloseable
{
    private static final int LARGEST_ANSWER = 64 << 20;
    private static final int KEPT_OPEN = 2;

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
        this.connections = new HttpConnectionPool(loops, target, KEPT_OPEN);
    }

    /** @return the server's address */
    public InetSocketAddress target()
    {
        return target;
    }

    /**
     * Sends JSON and waits for the whole answer.
     *
     * @param method the HTTP method
     * @param path the path
     * @param body the body, empty for none
     * @param timeoutMillis how long to wait in all
     * @return the answer
     * @throws InterruptedException if the process stops
     */
    public HttpReply call(String method, String path, byte[] body, int timeoutMillis)
            throws InterruptedException
    {
        int mark = path.indexOf('?');
        HttpMessage request = new HttpMessage(method, mark < 0 ? path : path.substring(0, mark),
                mark < 0 ? "" : path.substring(mark + 1),
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpReply.JSON_TYPE), body);
        return call(request, timeoutMillis);
    }

    /**
     * Sends a request and waits for the whole answer.
     *
     * @param request the request
     * @param timeoutMillis how long to wait in all
     * @return the answer
     * @throws InterruptedException if the process stops
     */
    public HttpReply call(HttpMessage request, int timeoutMillis) throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        HttpConnection connection = connections.acquire(timeoutMillis);
        try
        {
            return connection.exchange(request, deadline, LARGEST_ANSWER);
        }
        finally
        {
            connections.release(connection, true);
        }
    }

    /**
     * Sends a request whose answer may be large, and waits for the whole answer for as long as it keeps
     * arriving.
     *
     * @param request the request
     * @param idleMillis how long to wait for a connection, for the head and for each further part
     * @param timeoutMillis how long to wait in all
     * @return the answer
     * @throws InterruptedException if the process stops
     */
    public HttpReply callWithIdleTimeout(HttpMessage request, int idleMillis, int timeoutMillis)
            throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        HttpConnection connection = connections.acquire(idleMillis);
        try
        {
            return connection.exchangeWithIdleTimeout(request, TimeUnit.MILLISECONDS.toNanos(idleMillis),
                    deadline, LARGEST_ANSWER);
        }
        finally
        {
            connections.release(connection, true);
        }
    }

    /**
     * Opens a connection of its own for a streamed answer; the caller closes it.
     *
     * @param timeoutMillis how long to wait
     * @return the connection
     * @throws InterruptedException if the process stops
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
