/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A pool of idle connections to one server. Thread-safe. */
public final class HttpConnectionPool implements AutoCloseable
{
    private final NetLoops loops;
    private final InetSocketAddress target;
    private final int maxIdle;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private boolean closed;

    /**
     * @param loops the event loops
     * @param target the server's address
     * @param maxIdle maximum number of idle connections
     */
    public HttpConnectionPool(NetLoops loops, InetSocketAddress target, int maxIdle)
    {
        this.loops = loops;
        this.target = target;
        this.maxIdle = maxIdle;
    }

    /** @return the server's address */
    public InetSocketAddress target()
    {
        return target;
    }

    /**
     * Takes an idle connection or opens a new one.
     *
     * @param connectMillis connect timeout of a new connection, in milliseconds
     * @return a connection for exclusive use, to be passed to {@link #release}
     * @throws InterruptedException if the thread is interrupted
     * @throws org.gaugehollow.model.GaugehollowException if no connection can be opened
     */
    public HttpConnection acquire(int connectMillis) throws InterruptedException
    {
        HttpConnection pooled = takeIdle();
        return pooled != null ? pooled : HttpConnection.open(loops, target, connectMillis);
    }

    /**
     * Returns a connection to the pool, or closes it if it cannot be reused.
     *
     * @param connection the connection
     * @param reusable whether the connection may carry another request
     */
    public synchronized void release(HttpConnection connection, boolean reusable)
    {
        if (reusable && !closed && connection.isReusable() && idle.size() < maxIdle)
        {
            idle.push(connection);
        }
        else
        {
            connection.close();
        }
    }

    private synchronized HttpConnection takeIdle()
    {
        while (!idle.isEmpty())
        {
            HttpConnection connection = idle.pop();
            if (connection.isReusable())
            {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    @Override
    public synchronized void close()
    {
        closed = true;
        idle.forEach(HttpConnection::close);
        idle.clear();
    }
}
