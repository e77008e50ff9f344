/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;

/** Listens on one address and gives each connection a virtual thread of its own. */
public final class HttpServer implements AutoCloseable
{
    private static final int BACKLOG = 1024;

    private final Channel listener;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean closing = new AtomicBoolean();

    /**
     * Starts to listen.
     *
     * @param loops the event loops
     * @param address where to listen; port 0 takes a free one
     * @param maxBody the largest body in bytes
     * @param events where faults are recorded
     * @param handler what answers the requests
     * @throws GaugehollowException with {@link ResultCode#ADDRESS_IN_USE} if the address is taken
     */
    public HttpServer(NetLoops loops, InetSocketAddress address, int maxBody, EventLog events,
            HttpHandler handler)
    {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loops.group())
                .channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false).childHandler(new ChannelInitializer<Channel>()
                {
                    @Override
                    protected void initChannel(Channel channel)
                    {
                        connections.add(channel);
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpBodyLimit(maxBody),
                                new HttpServerConnection(handler, events, inFlight, closing));
                    }
                });
        listener = bind(bootstrap, address);
    }

    private static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address)
    {
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess())
        {
            String reason = bound.cause() instanceof BindException
                    ? "is taken or not an address of this machine"
                    : bound.cause().toString();
            throw new GaugehollowException(ResultCode.ADDRESS_IN_USE,
                    NetAddress.format(address) + ' ' + reason, bound.cause());
        }
        return bound.channel();
    }

    /** @return the address it listens on, with the port it was given */
    public InetSocketAddress address()
    {
        return (InetSocketAddress) listener.localAddress();
    }

    /** @return how many requests are being answered */
    public int inFlight()
    {
        return inFlight.get();
    }

    /** Accepts no more connections and ends each one with its next answer. */
    public void stopAccepting()
    {
        closing.set(true);
        listener.close().awaitUninterruptibly();
    }

    @Override
    public void close()
    {
        stopAccepting();
        connections.close().awaitUninterruptibly();
    }
}
