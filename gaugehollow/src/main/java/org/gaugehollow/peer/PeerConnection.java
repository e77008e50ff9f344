/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

/** A connection to a peer with the calls that wait for a reply on it. Thread-safe. */
final class PeerConnection
{
    private final InetSocketAddress target;
    private final EventLog events;
    private final KeepAliveHandler keepAlive;
    private final Map<Long, CompletableFuture<Frame>> pendingCalls = new HashMap<>();
    private final ChannelFuture opening;
    /** Whether the connection accepts no further calls and is closed when the last one has ended. */
    private boolean draining;
    private String lossReason = "the connection was lost";

    /**
     * Starts to open a connection.
     *
     * @param bootstrap the bootstrap without a handler
     * @param target the address of the peer
     * @param timing the time limits
     * @param events records that the connection is silent
     */
    PeerConnection(Bootstrap bootstrap, InetSocketAddress target, PeerTiming timing, EventLog events)
    {
        this.target = target;
        this.events = events;
        this.keepAlive = new KeepAliveHandler(timing, this::hasPendingCalls, this::closeSilent);
        this.opening = bootstrap.handler(new ChannelInitializer<Channel>()
        {
            @Override
            protected void initChannel(Channel channel)
            {
                channel.pipeline().addLast(
                        new IdleStateHandler(0, 0, timing.linkIdleMillis(), TimeUnit.MILLISECONDS),
                        keepAlive);
                PeerCodec.addTo(channel.pipeline());
                channel.pipeline().addLast(new ReplyReceiver());
            }
        }).connect(target);
    }

    /** Returns whether the connection is open, or may be soon, and accepts calls. */
    synchronized boolean isUsable()
    {
        return !draining && (!opening.isDone() || opening.channel().isActive());
    }

    /** Returns whether the connection has been closed. */
    boolean isClosed()
    {
        return !opening.channel().isOpen();
    }

    /** Returns how often data has been received. */
    long receivedCount()
    {
        return keepAlive.receivedCount();
    }

    /**
     * Waits until the connection is open.
     *
     * @throws GaugehollowException {@code PEER_UNREACHABLE} if it is not open in time
     */
    void awaitOpen(long timeoutNanos) throws InterruptedException
    {
        if (!opening.await(timeoutNanos, TimeUnit.NANOSECONDS))
        {
            throw new GaugehollowException(ResultCode.PEER_UNREACHABLE,
                    "not connected in time to " + NetAddress.format(target));
        }
        if (!opening.isSuccess())
        {
            throw new GaugehollowException(ResultCode.PEER_UNREACHABLE,
                    "cannot reach " + NetAddress.format(target), opening.cause());
        }
    }

    /** Adds a pending call; returns false if the connection accepts no further calls. */
    synchronized boolean add(long callId, CompletableFuture<Frame> reply)
    {
        if (draining)
        {
            return false;
        }
        pendingCalls.put(callId, reply);
        return true;
    }

    /** Sends a pending call without waiting. */
    void send(Frame call, CompletableFuture<Frame> reply)
    {
        opening.channel().writeAndFlush(call).addListener(written ->
        {
            if (!written.isSuccess())
            {
                reply.completeExceptionally(new GaugehollowException(ResultCode.PEER_LOST,
                        "the connection was lost while sending a call", written.cause()));
            }
        });
    }

    /** Removes a call that has ended. */
    synchronized void remove(long callId)
    {
        pendingCalls.remove(callId);
        closeIfDrained();
    }

    /** Accepts no further calls and closes the connection when the pending ones have ended. */
    synchronized void drain()
    {
        draining = true;
        closeIfDrained();
    }

    private void closeIfDrained()
    {
        if (draining && pendingCalls.isEmpty())
        {
            ChannelFuture unused = opening.channel().close();
        }
    }

    private synchronized void closeIfIdle()
    {
        if (pendingCalls.isEmpty())
        {
            drain();
        }
    }

    private synchronized boolean hasPendingCalls()
    {
        return !pendingCalls.isEmpty();
    }

    /** Closes the connection on its event loop after nothing has been received for too long. */
    private void closeSilent()
    {
        synchronized (this)
        {
            lossReason = "the connection is silent";
        }
        events.record(EventType.PEER_SILENT, NetAddress.format(target), "closed: nothing was received");
        ChannelFuture unused = opening.channel().close();
    }

    /** Closes the connection, which fails its pending calls, and waits until it is closed. */
    void close()
    {
        opening.channel().close().awaitUninterruptibly();
    }

    private synchronized void complete(Frame reply)
    {
        CompletableFuture<Frame> pending = pendingCalls.remove(reply.getCallId());
        if (pending != null)
        {
            pending.complete(reply);
        }
    }

    private synchronized void failPendingCalls()
    {
        draining = true;
        GaugehollowException lost = new GaugehollowException(ResultCode.PEER_LOST, lossReason);
        pendingCalls.values().forEach(pending -> pending.completeExceptionally(lost));
        pendingCalls.clear();
    }

    /** Completes the pending call of each reply and drops replies without a pending call. */
    private final class ReplyReceiver extends SimpleChannelInboundHandler<Frame>
    {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame reply)
        {
            complete(reply);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event)
        {
            if (event instanceof IdleStateEvent)
            {
                closeIfIdle();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx)
        {
            failPendingCalls();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
        {
            ChannelFuture unused = ctx.close();
        }
    }
}
