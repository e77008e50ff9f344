/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.Semaphore;

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
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;

/** Listens for peers and answers their calls. */
public final class PeerServer implements AutoCloseable
{
    private static final int MOST_OPEN_CALLS = 4096;

    private final PeerHandler handler;
    private final EventLog events;
    private final Semaphore openCalls = new Semaphore(MOST_OPEN_CALLS);
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;

    /**
     * Starts to listen.
     *
     * @param loops the event loops
     * @param address where to listen
     * @param events where faults are recorded
     * @param handler answers the calls
     * @throws GaugehollowException with {@link ResultCode#ADDRESS_IN_USE} if the address is taken
     */
    public PeerServer(NetLoops loops, InetSocketAddress address, EventLog events, PeerHandler handler)
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
                        PeerCodec.addTo(channel.pipeline());
                        channel.pipeline().addLast(new Receiver());
                    }
                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess())
        {
            throw new GaugehollowException(ResultCode.ADDRESS_IN_USE,
                    NetAddress.format(address) + " is taken", bound.cause());
        }
        listener = bound.channel();
    }

    /** @return the address it listens on, with the port it was given */
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

    private void answer(Channel channel, Frame call)
    {
        events.clock().observe(call.getHybridTime());
        Frame.Builder reply;
        try
        {
            reply = handler.handle(call);
        }
        catch (GaugehollowException e)
        {
            reply = errorOf(e.code(), e.getMessage());
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
            return;
        }
        catch (RuntimeException e)
        {
            events.record(EventType.INTERNAL_FAULT, call.getBodyCase().name(), String.valueOf(e));
            reply = errorOf(ResultCode.INTERNAL, "a fault inside the box");
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
                        "a reply was not sent");
            }
        });
    }

    private static Frame.Builder errorOf(ResultCode code, String message)
    {
        ErrorReply.Builder error = ErrorReply.newBuilder().setCode(code.number())
                .setMessage(String.valueOf(message));
        return Frame.newBuilder().setError(error);
    }

    /** Starts a virtual thread for each call. */
    private final class Receiver extends SimpleChannelInboundHandler<Frame>
    {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame call)
        {
            if (!openCalls.tryAcquire())
            {
                send(ctx.channel(), call, errorOf(ResultCode.QUEUE_FULL, "too many calls are open"));
                return;
            }
            Thread.ofVirtual().name("peer-call").start(() -> answer(ctx.channel(), call));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
        {
            events.record(EventType.PEER_BAD_CALL, String.valueOf(ctx.channel().remoteAddress()),
                    String.valueOf(cause.getMessage()).lines().findFirst().orElse(""));
            ctx.close().addListener(closed -> connections.remove(ctx.channel()));
        }
    }
}
