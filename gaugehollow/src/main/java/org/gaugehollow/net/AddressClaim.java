/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.OptionalLong;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;

/**
 * Occupies an address early in the start of a process, until a server listens there. Each earlier
 * process that listened at the address has ended by then. If the address can't be occupied yet, the
 * server decides whether the process can start.
 */
public final class AddressClaim implements AutoCloseable
{
    private final ServerSocketChannel channel;
    private final OptionalLong nanos;

    /**
     * Tries to occupy an address.
     *
     * @param address the address
     * @throws GaugehollowException with {@link ResultCode#INTERNAL} if no socket can be opened
     */
    public AddressClaim(InetSocketAddress address)
    {
        try
        {
            channel = ServerSocketChannel.open();
        }
        catch (IOException e)
        {
            throw new GaugehollowException(ResultCode.INTERNAL, "cannot open a socket", e);
        }
        nanos = bind(address);
    }

    private OptionalLong bind(InetSocketAddress address)
    {
        try
        {
            channel.bind(address);
            return OptionalLong.of(SteadyClock.nanos());
        }
        catch (IOException e)
        {
            return OptionalLong.empty();
        }
    }

    /**
     * @return monotonic time since which no other process listens at the address, empty if it couldn't
     *         be occupied
     */
    public OptionalLong nanos()
    {
        return nanos;
    }

    @Override
    public void close()
    {
        try
        {
            channel.close();
        }
        catch (IOException e)
        {
            throw new GaugehollowException(ResultCode.INTERNAL, "cannot release an address", e);
        }
    }
}
