/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** Idle connections to one server. Thread-safe. */
public final class HttpConnectionPool implements AutoCloseable
{
    private final NetLoops loops;
    private final InetSocketAddress target;
    private final int mostIdle;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private boolean closed;

    /**
     * @param loops the event loops
     * @param target the server's address
     * @param mostIdle how many connections are kept open between requests
     */
    public HttpConnectionPool(NetLoops loops, InetSocketAddress target, int mostIdle)
    {
        this.loops = loops;
        this.target = target;
        this.mostIdle = mostIdle;
    }

    /** @return the server's address */
    public InetSocketAddress target()
    {
        return target;
    }

    /**
     * Takes an idle connection or opens a new one.
     *
     * @param connectMillis how long a new one may take
     * @return a connection that this caller alone uses until it gives it back
     * @throws InterruptedException if the process stops
     * @throws org.gaugehollow.model.GaugehollowException if no connection can be opened
     */
    public HttpConnection acquire(int connectMillis) throws InterruptedException
    {
        HttpConnection kept = takeIdle();
        return kept != null ? kept : HttpConnection.open(loops, target, connectMillis);
    }

    /**
     * Gives a connection back.
     *
     * @param connection the connection
     * @param keep whether it may carry another request
     */
    public synchronized void release(HttpConnection connection, boolean keep)
    {
        if (keep && !closed && connection.isReusable() && idle.size() < mostIdle)
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
