/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Relays TCP connections and can silence or close the open ones while new ones work. */
final class SilencingRelay implements AutoCloseable
{
    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket listener = new ServerSocket(0, 0, InetAddress.getByName("127.0.0.1"));
    private final InetSocketAddress target;
    private final List<Hop> hops = new CopyOnWriteArrayList<>();
    private final Set<Hop> silencedHops = ConcurrentHashMap.newKeySet();

    /** Both sides of a relayed connection. */
    private record Hop(Socket client, Socket server)
    {
        void close()
        {
            try (Socket first = client; Socket second = server)
            {
                first.shutdownOutput();
            }
            catch (IOException e)
            {
                // the sockets are closed in any case
            }
        }
    }

    SilencingRelay(InetSocketAddress target) throws IOException
    {
        this.target = target;
        Thread.ofVirtual().start(this::acceptUntilClosed);
    }

    InetSocketAddress address()
    {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the number of connections accepted since the start. */
    int accepted()
    {
        return hops.size();
    }

    /** Returns the number of connections that neither side has closed. */
    long openConnections()
    {
        return hops.stream().filter(hop -> !hop.client().isClosed()).count();
    }

    /** Discards all further data of the open connections without closing them. */
    void silenceOpenConnections()
    {
        silencedHops.addAll(hops);
    }

    /** Closes the connection with the given index in the order of acceptance. */
    void closeConnection(int index)
    {
        hops.get(index).close();
    }

    private void acceptUntilClosed()
    {
        while (!listener.isClosed())
        {
            try
            {
                Socket client = listener.accept();
                Hop hop = new Hop(client, new Socket(target.getAddress(), target.getPort()));
                hops.add(hop);
                Thread.ofVirtual().start(() -> copy(hop, client, hop.server()));
                Thread.ofVirtual().start(() -> copy(hop, hop.server(), client));
            }
            catch (IOException e)
            {
                // the relay or its target was closed
            }
        }
    }

    private void copy(Hop hop, Socket from, Socket to)
    {
        byte[] buffer = new byte[BUFFER_BYTES];
        try
        {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer))
            {
                if (!silencedHops.contains(hop))
                {
                    output.write(buffer, 0, count);
                }
            }
        }
        catch (IOException e)
        {
            // one side closed the connection; both are closed below
        }
        if (!silencedHops.contains(hop))
        {
            hop.close();
        }
    }

    @Override
    public void close() throws IOException
    {
        listener.close();
        hops.forEach(Hop::close);
    }
}
