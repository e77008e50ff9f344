/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Fault-injecting TCP proxy for tests: forwards data according to its mode and closes connections
 * from blocked source addresses.
 */
public final class FaultProxy implements AutoCloseable
{
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int POLL_INTERVAL_MILLIS = 5;
    private static final int DELAY_MILLIS = 120;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Map<Socket, Socket> connections = new ConcurrentHashMap<>();
    /** Client sides of the connections that carry no more data. */
    private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();
    private volatile Predicate<InetAddress> blockedSources = source -> false;
    private volatile FaultMode mode = FaultMode.PASS;

    /**
     * Starts the proxy.
     *
     * @param listen listen address; port 0 selects a free port
     * @param target address to forward connections to
     * @throws IOException if the address is already in use
     */
    public FaultProxy(InetSocketAddress listen, InetSocketAddress target) throws IOException
    {
        this.target = target;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(listen);
        Thread.ofVirtual().name("hop-accept").start(this::acceptUntilClosed);
    }

    /** @return listen address */
    public InetSocketAddress address()
    {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /**
     * Blocks new connections and closes existing ones from the given source addresses.
     *
     * @param sources matches the addresses to block
     */
    public void blockSources(Predicate<InetAddress> sources)
    {
        blockedSources = sources;
        connections.forEach((client, server) ->
        {
            if (sources.test(client.getInetAddress()))
            {
                closeBoth(client, server);
            }
        });
    }

    /**
     * Silences the connections that are open now for as long as the proxy is open: they carry no more
     * data and are not closed, whatever the two sides do. New connections work.
     */
    public void silenceConnections()
    {
        silenced.addAll(connections.keySet());
    }

    /**
     * Changes how traffic is treated.
     *
     * @param newMode the new mode
     */
    public void setMode(FaultMode newMode)
    {
        mode = newMode;
        if (newMode == FaultMode.RESET)
        {
            connections.forEach(this::closeBoth);
        }
    }

    private void acceptUntilClosed()
    {
        while (!listener.isClosed())
        {
            try
            {
                Socket client = listener.accept();
                if (blockedSources.test(client.getInetAddress()) || mode == FaultMode.RESET)
                {
                    client.close();
                }
                else
                {
                    Thread.ofVirtual().name("hop").start(() -> connect(client));
                }
            }
            catch (IOException e)
            {
                // the listener was closed, or a client disconnected before it was accepted
            }
        }
    }

    private void connect(Socket client)
    {
        Socket server = new Socket();
        try
        {
            server.connect(target);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            connections.put(client, server);
            if (blockedSources.test(client.getInetAddress()))
            {
                closeBoth(client, server);
                return;
            }
            Thread.ofVirtual().name("hop-back").start(() -> copy(server, client, client, server, true));
            copy(client, server, client, server, false);
        }
        catch (IOException e)
        {
            closeBoth(client, server);
        }
    }

    private void copy(Socket in, Socket out, Socket client, Socket server, boolean fromTarget)
    {
        byte[] buffer = new byte[BUFFER_BYTES];
        try
        {
            InputStream input = in.getInputStream();
            OutputStream output = out.getOutputStream();
            int read = input.read(buffer);
            while (read >= 0)
            {
                applyMode(fromTarget);
                if (isSilenced(client))
                {
                    return;
                }
                output.write(buffer, 0, read);
                read = input.read(buffer);
            }
        }
        catch (IOException e)
        {
            // one side closed the connection; both are closed below
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        if (!isSilenced(client))
        {
            closeBoth(client, server);
        }
    }

    /** Returns whether a connection is silenced, and thus neither forwards data nor is closed. */
    private boolean isSilenced(Socket client)
    {
        return silenced.contains(client) && !listener.isClosed();
    }

    private void applyMode(boolean fromTarget) throws InterruptedException
    {
        if (mode == FaultMode.LATE)
        {
            Thread.sleep(DELAY_MILLIS);
        }
        while (mode.blocks(fromTarget) && !listener.isClosed())
        {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void closeBoth(Socket client, Socket server)
    {
        connections.remove(client);
        closeQuietly(client);
        closeQuietly(server);
    }

    private static void closeQuietly(Socket socket)
    {
        try
        {
            socket.close();
        }
        catch (IOException e)
        {
            // the socket is closed in any case
        }
    }

    @Override
    public void close() throws IOException
    {
        listener.close();
        connections.forEach(this::closeBoth);
    }
}
