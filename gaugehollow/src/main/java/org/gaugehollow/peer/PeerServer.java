/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.ErrorReply;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutException;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;

/** Accepts connections from peers and answers their calls. */
public final class PeerServer implements AutoCloseable
{
    private static final int MAX_OPEN_CALLS = 4096;

    private final PeerHandler handler;
    private final EventLog events;
    private final Semaphore openCalls = new Semaphore(MAX_OPEN_CALLS);
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;

    /**
     * Starts listening.
     *
     * @param loops the event loops
     * @param address the address to listen on
     * @param events the event log for failures
     * @param handler the handler of the calls
     * @throws GaugehollowException with {@link ResultCode#ADDRESS_IN_USE} if the address cannot be
     *             bound
     */
    public PeerServer(NetLoops loops, InetSocketAddress address, EventLog events, PeerHandler handler)
    {
        this(loops, address, events, handler, PeerTiming.DEFAULT);
    }

    PeerServer(NetLoops loops, InetSocketAddress address, EventLog events, PeerHandler handler,
            PeerTiming timing)
    {
        this.handler = handler;
        this.events = events;
        ServerBootstrap bootstrap = new ServerBootstrap().group(loops.group())
                .channel(NioServerSocketChannel.class).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<Channel>()
                {
                    @Override
                    protected void initChannel(Channel channel)
                    {
                        connections.add(channel);
                        addTimeLimits(channel.pipeline(), timing);
                        PeerCodec.addTo(channel.pipeline());
                        channel.pipeline().addLast(new CallReceiver());
                    }
                });
        ChannelFuture binding = bootstrap.bind(address).awaitUninterruptibly();
        if (!binding.isSuccess())
        {
            throw new GaugehollowException(ResultCode.ADDRESS_IN_USE,
                    NetAddress.format(address) + " is already in use", binding.cause());
        }
        listener = binding.channel();
    }

    private static void addTimeLimits(ChannelPipeline pipeline, PeerTiming timing)
    {
        pipeline.addLast(new IdleStateHandler(timing.serverIdleMillis(), 0, 0, TimeUnit.MILLISECONDS),
                new WriteTimeoutHandler(timing.writeMillis(), TimeUnit.MILLISECONDS));
    }

    /** @return the bound address, with the actual port */
    public InetSocketAddress address()
    {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public void close()
    {
        listener.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    private void handleCall(Channel channel, Frame call)
    {
        events.clock().observe(call.getHybridTime());
        Frame.Builder reply;
        try
        {
            reply = handler.handle(call);
        }
        catch (GaugehollowException e)
        {
            reply = errorOf(e);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
            return;
        }
        catch (RuntimeException e)
        {
            events.record(EventType.INTERNAL_FAULT, call.getBodyCase().name(), String.valueOf(e));
            reply = errorOf(new GaugehollowException(ResultCode.INTERNAL, "internal error"));
        }
        finally
        {
            openCalls.release();
        }
        send(channel, call, reply);
    }

    private void send(Channel channel, Frame call, Frame.Builder reply)
    {
        Frame frame = reply.setCallId(call.getCallId()).setHybridTime(events.clock().next()).build();
        channel.writeAndFlush(frame).addListener(written ->
        {
            if (!written.isSuccess())
            {
                events.record(EventType.PEER_LOST, String.valueOf(channel.remoteAddress()),
                        "failed to send a reply");
            }
        });
    }

    private static Frame.Builder errorOf(GaugehollowException e)
    {
        ErrorReply.Builder error = ErrorReply.newBuilder().setCode(e.code().number())
                .setMessage(String.valueOf(e.getMessage())).setRetryAfterMillis(e.retryAfterMillis());
        return Frame.newBuilder().setError(error);
    }

    /**
     * Starts a virtual thread for each call. Keep-alive frames are answered at once, so that a peer
     * with slow calls counts as alive.
     */
    private final class CallReceiver extends SimpleChannelInboundHandler<Frame>
    {
        private final AtomicInteger callsInProgress = new AtomicInteger();

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame call)
        {
            if (KeepAliveHandler.isKeepAlive(call))
            {
                KeepAliveHandler.answer(ctx);
                return;
            }
            if (!openCalls.tryAcquire())
            {
                send(ctx.channel(), call,
                        errorOf(new GaugehollowException(ResultCode.QUEUE_FULL, "too many open calls")));
                return;
            }
            callsInProgress.incrementAndGet();
            Thread.ofVirtual().name("peer-call").start(() -> handle(ctx.channel(), call));
        }

        private void handle(Channel channel, Frame call)
        {
            try
            {
                handleCall(channel, call);
            }
            finally
            {
                callsInProgress.decrementAndGet();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event)
        {
            if (event instanceof IdleStateEvent && callsInProgress.get() == 0)
            {
                ChannelFuture unused = ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
        {
            if (cause instanceof WriteTimeoutException)
            {
                // the connection is being closed, and each reply that was not sent is recorded
                return;
            }
            events.record(EventType.PEER_BAD_CALL, String.valueOf(ctx.channel().remoteAddress()),
                    String.valueOf(cause.getMessage()).lines().findFirst().orElse(""));
            ctx.close().addListener(closed -> connections.remove(ctx.channel()));
        }
    }
}
