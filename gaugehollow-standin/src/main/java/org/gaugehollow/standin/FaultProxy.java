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
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * A hop in front of one listener, for tests of cuts: it passes bytes on as its mode says, and
 * refuses or ends connections from the source addresses that are cut off.
 */
public final class FaultProxy implements AutoCloseable
{
    private static final int BUFFER = 16 << 10;
    private static final int STEP_MILLIS = 5;
    private static final int LATE_MILLIS = 120;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Map<Socket, Socket> pairs = new ConcurrentHashMap<>();
    private volatile Predicate<InetAddress> cut = source -> false;
    private volatile FaultMode mode = FaultMode.PASS;

    /**
     * Starts to listen.
     *
     * @param listen where to listen; port 0 takes a free one
     * @param target where bytes are passed on to
     * @throws IOException if the address is taken
     */
    public FaultProxy(InetSocketAddress listen, InetSocketAddress target) throws IOException
    {
        this.target = target;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(listen);
        Thread.ofVirtual().name("hop-accept").start(this::acceptUntilClosed);
    }

    /** @return the address it listens on */
    public InetSocketAddress address()
    {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /**
     * @param sources the source addresses that are cut off from now on
     */
    public void cutOff(Predicate<InetAddress> sources)
    {
        cut = sources;
        pairs.forEach((from, to) ->
        {
            if (sources.test(from.getInetAddress()))
            {
                closeBoth(from, to);
            }
        });
    }

    /**
     * @param next what the hop does from now on
     */
    public void mode(FaultMode next)
    {
        mode = next;
        if (next == FaultMode.RESET)
        {
            pairs.forEach(this::closeBoth);
        }
    }

    private void acceptUntilClosed()
    {
        while (!listener.isClosed())
        {
            try
            {
                Socket from = listener.accept();
                if (cut.test(from.getInetAddress()) || mode == FaultMode.RESET)
                {
                    from.close();
                }
                else
                {
                    Thread.ofVirtual().name("hop").start(() -> join(from));
                }
            }
            catch (IOException e)
            {
                // the listener was closed, or one connection failed before it was joined
            }
        }
    }

    private void join(Socket from)
    {
        Socket to = new Socket();
        try
        {
            to.connect(target);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            pairs.put(from, to);
            if (cut.test(from.getInetAddress()))
            {
                closeBoth(from, to);
                return;
            }
            Thread.ofVirtual().name("hop-back").start(() -> pump(to, from, from, to, true));
            pump(from, to, from, to, false);
        }
        catch (IOException e)
        {
            closeBoth(from, to);
        }
    }

    private void pump(Socket in, Socket out, Socket from, Socket to, boolean back)
    {
        byte[] buffer = new byte[BUFFER];
        try
        {
            InputStream input = in.getInputStream();
            OutputStream output = out.getOutputStream();
            int read = input.read(buffer);
            while (read >= 0)
            {
                hold(back);
                output.write(buffer, 0, read);
                read = input.read(buffer);
            }
        }
        catch (IOException e)
        {
            // one side ended; both are closed below
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        closeBoth(from, to);
    }

    private void hold(boolean back) throws InterruptedException
    {
        if (mode == FaultMode.LATE)
        {
            Thread.sleep(LATE_MILLIS);
        }
        while (mode.holds(back) && !listener.isClosed())
        {
            Thread.sleep(STEP_MILLIS);
        }
    }

    private void closeBoth(Socket from, Socket to)
    {
        pairs.remove(from);
        closeQuietly(from);
        closeQuietly(to);
    }

    private static void closeQuietly(Socket socket)
    {
        try
        {
            socket.close();
        }
        catch (IOException e)
        {
            // it is closed either way
        }
    }

    @Override
    public void close() throws IOException
    {
        listener.close();
        pairs.forEach(this::closeBoth);
    }
}
