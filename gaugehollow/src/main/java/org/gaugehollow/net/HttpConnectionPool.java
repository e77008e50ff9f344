/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * A pool of idle connections to one server. After a request has timed out, it gives out only
 * connections that have received data since that request was sent: a fault that silences one
 * connection without closing it is likely to have silenced the others. Thread-safe.
 */
public final class HttpConnectionPool implements AutoCloseable
{
    private final NetLoops loops;
    private final InetSocketAddress target;
    private final int maxIdle;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    /** When the latest request that timed out was sent. */
    private OptionalLong timedOutRequestNanos = OptionalLong.empty();
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
     * Returns a connection to the pool, or closes it if it cannot be reused. If its request timed out,
     * idle connections that may be silent as well are closed.
     *
     * @param connection the connection
     * @param reusable whether the connection may carry another request
     */
    public synchronized void release(HttpConnection connection, boolean reusable)
    {
        connection.timedOutRequestNanos().ifPresent(this::closeSilentSince);
        if (reusable && !closed && isUsable(connection) && idle.size() < maxIdle)
        {
            idle.push(connection);
        }
        else
        {
            connection.close();
        }
    }

    private void closeSilentSince(long sentNanos)
    {
        if (timedOutRequestNanos.isEmpty() || sentNanos - timedOutRequestNanos.getAsLong() > 0)
        {
            timedOutRequestNanos = OptionalLong.of(sentNanos);
        }
        idle.removeIf(this::closeIfUnusable);
    }

    private boolean closeIfUnusable(HttpConnection connection)
    {
        boolean unusable = !isUsable(connection);
        if (unusable)
        {
            connection.close();
        }
        return unusable;
    }

    private boolean isUsable(HttpConnection connection)
    {
        boolean trusted = timedOutRequestNanos.isEmpty()
                || connection.hasReceivedSince(timedOutRequestNanos.getAsLong());
        return trusted && connection.isReusable();
    }

    private synchronized HttpConnection takeIdle()
    {
        while (!idle.isEmpty())
        {
            HttpConnection connection = idle.pop();
            if (!closeIfUnusable(connection))
            {
                return connection;
            }
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
