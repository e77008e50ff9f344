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

/** Listens on one address and handles each connection on its own virtual thread. */
public final class HttpServer implements AutoCloseable
{
    private static final int BACKLOG = 1024;
    /** Bounds how much a client has to read before the server observes progress. */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private final Channel listener;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean closing = new AtomicBoolean();

    /**
     * Starts the server.
     *
     * @param loops the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @param maxBodyBytes maximum size of a request body
     * @param events records internal errors and invalid requests
     * @param handler handles the requests
     * @throws GaugehollowException with {@link ResultCode#ADDRESS_IN_USE} if the server cannot listen
     *             on the address
     */
    public HttpServer(NetLoops loops, InetSocketAddress address, int maxBodyBytes, EventLog events,
            HttpHandler handler)
    {
        this(loops, address, maxBodyBytes, events, handler, HttpServerTimeouts.DEFAULT);
    }

    HttpServer(NetLoops loops, InetSocketAddress address, int maxBodyBytes, EventLog events,
            HttpHandler handler, HttpServerTimeouts timeouts)
    {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loops.group())
                .channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.AUTO_READ, false).childHandler(new ChannelInitializer<Channel>()
                {
                    @Override
                    protected void initChannel(Channel channel)
                    {
                        connections.add(channel);
                        channel.pipeline().addLast(
                                new StalledWriteHandler(timeouts.stalledWriteMillis(), events),
                                new HttpServerCodec(), new HttpBodyLimit(maxBodyBytes),
                                new HttpServerConnection(handler, events, inFlight, closing,
                                        timeouts.idleMillis()));
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
                    ? "is already in use or not an address of this machine"
                    : bound.cause().toString();
            throw new GaugehollowException(ResultCode.ADDRESS_IN_USE,
                    NetAddress.format(address) + ' ' + reason, bound.cause());
        }
        return bound.channel();
    }

    /** @return the address that the server listens on, with the actual port */
    public InetSocketAddress address()
    {
        return (InetSocketAddress) listener.localAddress();
    }

    /** @return the number of requests in progress */
    public int inFlight()
    {
        return inFlight.get();
    }

    /** Stops accepting connections and closes each open one after its next response. */
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
