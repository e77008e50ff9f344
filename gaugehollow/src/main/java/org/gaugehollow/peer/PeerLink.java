/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.ErrorReply;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.time.SteadyClock;

import io.netty.channel.ChannelOption;

/**
 * Sends calls to one peer over a connection that is opened on demand. A connection that may have
 * gone silent is replaced. Thread-safe.
 */
public final class PeerLink implements AutoCloseable
{
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTION_ATTEMPTS = 2;
    private static final int MAX_RETIRED_CONNECTIONS = 3;

    private final NetLoops loops;
    private final InetSocketAddress target;
    private final EventLog events;
    private final Metrics metrics;
    private final AtomicLong lastCallId = new AtomicLong();
    private final PeerTiming timing;
    /** Replaced connections that still have pending calls. */
    private final List<PeerConnection> retiredConnections = new ArrayList<>();
    private PeerConnection connection;
    private boolean closed;

    /**
     * @param loops the event loops
     * @param target the address of the peer
     * @param events the event log whose clock stamps calls
     * @param metrics the metrics for sent bytes
     */
    public PeerLink(NetLoops loops, InetSocketAddress target, EventLog events, Metrics metrics)
    {
        this(loops, target, events, metrics, PeerTiming.DEFAULT);
    }

    PeerLink(NetLoops loops, InetSocketAddress target, EventLog events, Metrics metrics, PeerTiming timing)
    {
        this.loops = loops;
        this.target = target;
        this.events = events;
        this.metrics = metrics;
        this.timing = timing;
    }

    /**
     * Calls the peer and waits for its reply.
     *
     * @param call the call
     * @param timeoutMillis the maximum time to connect, send the call and receive the reply in
     *            milliseconds
     * @return the reply
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code PEER_UNREACHABLE} if the call was certainly not sent,
     *             {@code PEER_LOST} if it may have been sent, or the code of the peer's error reply
     */
    public Frame call(Frame.Builder call, long timeoutMillis) throws InterruptedException
    {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(1, timeoutMillis));
        long endNanos = SteadyClock.nanos() + timeoutNanos;
        long id = lastCallId.incrementAndGet();
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        PeerConnection callConnection = awaitConnection(id, reply, endNanos);
        long waitNanos = endNanos - SteadyClock.nanos();
        long receivedBefore = callConnection.receivedCount();
        try
        {
            Frame frame = call.setCallId(id).setHybridTime(events.clock().next()).build();
            metrics.peerBytes().labelValues(frame.getBodyCase().name()).inc(frame.getSerializedSize());
            callConnection.send(frame, reply);
            return checkReply(reply.get(waitNanos, TimeUnit.NANOSECONDS));
        }
        catch (TimeoutException e)
        {
            boolean spentOnConnecting = waitNanos < timeoutNanos / 2;
            if (!spentOnConnecting && callConnection.receivedCount() == receivedBefore)
            {
                retire(callConnection);
            }
            throw new GaugehollowException(ResultCode.PEER_LOST, "no reply from " + NetAddress.format(target),
                    e);
        }
        catch (ExecutionException e)
        {
            throw new GaugehollowException(ResultCode.PEER_LOST,
                    "no reply from " + NetAddress.format(target) + ": " + e.getCause().getMessage(), e);
        }
        finally
        {
            callConnection.remove(id);
        }
    }

    private Frame checkReply(Frame reply)
    {
        events.clock().observe(reply.getHybridTime());
        if (reply.getBodyCase() == Frame.BodyCase.ERROR)
        {
            throw toException(reply.getError());
        }
        return reply;
    }

    /** Boxes of earlier versions send no delay; then that of the code applies. */
    private static GaugehollowException toException(ErrorReply error)
    {
        ResultCode code = ResultCode.ofNumber(error.getCode());
        return error.getRetryAfterMillis() == 0
                ? new GaugehollowException(code, error.getMessage())
                : new GaugehollowException(code, error.getMessage(), error.getRetryAfterMillis());
    }

    /**
     * Waits for an open connection and adds the call to it. Concurrent calls share one connection
     * attempt. The second attempt replaces a connection that was closed before it took the call.
     */
    private PeerConnection awaitConnection(long callId, CompletableFuture<Frame> reply, long endNanos)
            throws InterruptedException
    {
        for (int i = 0; i < MAX_CONNECTION_ATTEMPTS; i++)
        {
            PeerConnection candidate = currentConnection();
            candidate.awaitOpen(endNanos - SteadyClock.nanos());
            if (candidate.add(callId, reply))
            {
                return candidate;
            }
        }
        throw new GaugehollowException(ResultCode.PEER_UNREACHABLE,
                NetAddress.format(target) + " closes its connections");
    }

    private synchronized PeerConnection currentConnection()
    {
        if (closed)
        {
            throw new GaugehollowException(ResultCode.PEER_UNREACHABLE, "the link is closed");
        }
        if (connection == null || !connection.isUsable())
        {
            connection = new PeerConnection(
                    loops.newClientBootstrap().option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS),
                    target, timing, events);
        }
        return connection;
    }

    /**
     * Replaces a connection that may be silent. Its pending calls continue, because the peer may only
     * be slow. With the maximum number of retired connections in use, it is replaced when it has been
     * found silent.
     */
    private synchronized void retire(PeerConnection suspect)
    {
        retiredConnections.removeIf(PeerConnection::isClosed);
        if (connection == suspect && retiredConnections.size() < MAX_RETIRED_CONNECTIONS)
        {
            connection = null;
            retiredConnections.add(suspect);
            suspect.drain();
            events.record(EventType.PEER_SILENT, NetAddress.format(target),
                    "replaced: a call timed out and nothing was received");
        }
    }

    @Override
    public synchronized void close()
    {
        closed = true;
        if (connection != null)
        {
            connection.close();
        }
        retiredConnections.forEach(PeerConnection::close);
    }
}
