/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/** The event loops of a process. They perform only I/O; requests are handled on virtual threads. */
public final class NetLoops implements AutoCloseable
{
    private static final int THREADS = 2;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS,
            new DefaultThreadFactory("net", true), NioIoHandler.newFactory());
    private final Optional<InetAddress> sourceAddress;

    /**
     * @param sourceAddress the local address of outgoing connections; empty lets the system choose
     */
    public NetLoops(Optional<InetAddress> sourceAddress)
    {
        this.sourceAddress = sourceAddress;
    }

    /** @return the event loop group for servers */
    public EventLoopGroup group()
    {
        return group;
    }

    /** @return a new client bootstrap that uses these event loops */
    public Bootstrap client()
    {
        Bootstrap bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class);
        sourceAddress.ifPresent(address -> bootstrap.localAddress(new InetSocketAddress(address, 0)));
        return bootstrap;
    }

    @Override
    public void close()
    {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}
