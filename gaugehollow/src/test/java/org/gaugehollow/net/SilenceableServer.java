/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP server that can fall silent on its open connections, which stay open. It answers requests
 * without a body, {@code /held} once the test allows it.
 */
final class SilenceableServer implements AutoCloseable
{
    private static final int MAX_WAIT_MILLIS = 10_000;

    private final ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();
    private final Semaphore requests = new Semaphore(0);
    private final CountDownLatch mayAnswerHeld = new CountDownLatch(1);

    SilenceableServer() throws IOException
    {
        Thread.ofVirtual().start(this::acceptUntilClosed);
    }

    InetSocketAddress address()
    {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the number of connections accepted so far. */
    int acceptedConnections()
    {
        return connections.size();
    }

    /** Silences the connection that was accepted at the given position, from 0. */
    void silence(int connection)
    {
        silenced.add(connections.get(connection));
    }

    void silenceConnections()
    {
        silenced.addAll(connections);
    }

    /** Waits for requests that were not awaited before. */
    void awaitRequests(int count) throws InterruptedException
    {
        assertThat(requests.tryAcquire(count, MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    void answerHeldRequests()
    {
        mayAnswerHeld.countDown();
    }

    private void acceptUntilClosed()
    {
        try
        {
            while (!listener.isClosed())
            {
                Socket socket = listener.accept();
                connections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        }
        catch (IOException e)
        {
            // the server was closed
        }
    }

    private void serve(Socket socket)
    {
        try
        {
            BufferedReader reader = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String requestLine = reader.readLine();
            while (requestLine != null)
            {
                skipHeaders(reader);
                requests.release();
                if (requestLine.contains("/held"))
                {
                    mayAnswerHeld.await();
                }
                if (!silenced.contains(socket))
                {
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
                }
                requestLine = reader.readLine();
            }
        }
        catch (IOException e)
        {
            // one side closed the connection
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    private static void skipHeaders(BufferedReader reader) throws IOException
    {
        String header = reader.readLine();
        while (header != null && !header.isEmpty())
        {
            header = reader.readLine();
        }
    }

    @Override
    public void close() throws IOException
    {
        listener.close();
        mayAnswerHeld.countDown();
        for (Socket connection : connections)
        {
            connection.close();
        }
    }
}
