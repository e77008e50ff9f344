/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;

/** Sends calls to one peer over a single connection that is opened on demand. Thread-safe. */
public final class PeerLink implements AutoCloseable
{
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final NetLoops loops;
    private final InetSocketAddress target;
    private final EventLog events;
    private final Metrics metrics;
    private final AtomicLong lastCallId = new AtomicLong();
    private final Map<Long, CompletableFuture<Frame>> pendingCalls = new ConcurrentHashMap<>();
    private ChannelFuture connection;
    private boolean closed;

    /**
     * @param loops the event loops
     * @param target the address of the peer
     * @param events the event log whose clock stamps calls
     * @param metrics the metrics for sent bytes
     */
    public PeerLink(NetLoops loops, InetSocketAddress target, EventLog events, Metrics metrics)
    {
        this.loops = loops;
        this.target = target;
        this.events = events;
        this.metrics = metrics;
    }

    /**
     * Calls the peer and waits for its reply.
     *
     * @param call the call
     * @param timeoutMillis the maximum time to wait for the reply in milliseconds
     * @return the reply
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code PEER_UNREACHABLE} if the call was certainly not sent,
     *             {@code PEER_LOST} if it may have been sent, or the code of the peer's error reply
     */
    public Frame call(Frame.Builder call, long timeoutMillis) throws InterruptedException
    {
        Channel channel = awaitConnection();
        long id = lastCallId.incrementAndGet();
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        pendingCalls.put(id, reply);
        try
        {
            Frame frame = call.setCallId(id).setHybridTime(events.clock().next()).build();
            metrics.peerBytes().labelValues(frame.getBodyCase().name()).inc(frame.getSerializedSize());
            if (!channel.writeAndFlush(frame).await().isSuccess())
            {
                throw new GaugehollowException(ResultCode.PEER_LOST,
                        "the connection was lost while sending a call");
            }
            return checkReply(reply.get(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS));
        }
        catch (TimeoutException | ExecutionException e)
        {
            throw new GaugehollowException(ResultCode.PEER_LOST, "no reply from " + NetAddress.format(target),
                    e);
        }
        finally
        {
            pendingCalls.remove(id);
        }
    }

    private Frame checkReply(Frame reply)
    {
        events.clock().observe(reply.getHybridTime());
        if (reply.getBodyCase() == Frame.BodyCase.ERROR)
        {
            throw new GaugehollowException(ResultCode.ofNumber(reply.getError().getCode()),
                    reply.getError().getMessage());
        }
        return reply;
    }

    /** Waits for the connection. Concurrent calls share one connection attempt. */
    private Channel awaitConnection() throws InterruptedException
    {
        ChannelFuture future = openConnection().await();
        if (!future.isSuccess())
        {
            throw new GaugehollowException(ResultCode.PEER_UNREACHABLE,
                    "cannot reach " + NetAddress.format(target), future.cause());
        }
        return future.channel();
    }

    private synchronized ChannelFuture openConnection()
    {
        if (closed)
        {
            throw new GaugehollowException(ResultCode.PEER_UNREACHABLE, "the link is closed");
        }
        boolean usable = connection != null && (!connection.isDone() || connection.channel().isActive());
        if (!usable)
        {
            connection = connect();
        }
        return connection;
    }

    private ChannelFuture connect()
    {
        return loops.newClientBootstrap().option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>()
                {
                    @Override
                    protected void initChannel(Channel ch)
                    {
                        PeerCodec.addTo(ch.pipeline());
                        ch.pipeline().addLast(new ReplyReceiver());
                    }
                }).connect(target);
    }

    /** Closes the connection, so that the next call opens a new one. */
    public synchronized void reset()
    {
        if (connection != null)
        {
            connection.channel().close().awaitUninterruptibly();
        }
    }

    @Override
    public synchronized void close()
    {
        closed = true;
        reset();
    }

    /** Completes the pending call of each reply and drops replies without a pending call. */
    private final class ReplyReceiver extends SimpleChannelInboundHandler<Frame>
    {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame reply)
        {
            CompletableFuture<Frame> pending = pendingCalls.remove(reply.getCallId());
            if (pending != null)
            {
                pending.complete(reply);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx)
        {
            GaugehollowException lost = new GaugehollowException(ResultCode.PEER_LOST,
                    "the connection was lost");
            pendingCalls.values().forEach(pending -> pending.completeExceptionally(lost));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
        {
            ctx.close().addListener(done -> channelInactive(ctx));
        }
    }
}
