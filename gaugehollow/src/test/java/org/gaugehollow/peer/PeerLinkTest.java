/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.StoreCall;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Guards against calls to an unreachable peer that block each other. */
class PeerLinkTest
{
    private static final int CALLS = 6;
    private static final int MAX_CONNECTIONS = 64;

    /** Opens connections until the backlog of the listener is full, so that the next attempt hangs. */
    private static List<Socket> fillBacklog(ServerSocket listener) throws IOException
    {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++)
        {
            Socket socket = new Socket();
            sockets.add(socket);
            try
            {
                socket.connect(listener.getLocalSocketAddress(), 200);
            }
            catch (SocketTimeoutException e)
            {
                return sockets;
            }
        }
        throw new IOException("the backlog of the listener did not fill up");
    }

    @Test
    void callsToUnresponsivePeerDoNotWaitForEachOther() throws Exception
    {
        NetLoops loops = new NetLoops(Optional.empty());
        EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
        List<Socket> sockets = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                PeerLink link = new PeerLink(loops, (InetSocketAddress) listener.getLocalSocketAddress(),
                        events, new Metrics()))
        {
            sockets.addAll(fillBacklog(listener));
            AtomicInteger unreachable = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            long startedAt = SteadyClock.nanos();
            for (int i = 0; i < CALLS; i++)
            {
                callers.add(Thread.ofVirtual().start(() -> call(link, unreachable)));
            }
            for (Thread caller : callers)
            {
                caller.join();
            }
            assertThat(unreachable.get()).isEqualTo(CALLS);
            assertThat(TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startedAt)).isLessThan(1_500);
        }
        finally
        {
            for (Socket socket : sockets)
            {
                socket.close();
            }
            loops.close();
        }
    }

    /** Guards against calls that wait for a connection longer than their timeout. */
    @Test
    void timeoutOfCallIncludesConnecting() throws Exception
    {
        NetLoops loops = new NetLoops(Optional.empty());
        EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
        List<Socket> sockets = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                PeerLink link = new PeerLink(loops, (InetSocketAddress) listener.getLocalSocketAddress(),
                        events, new Metrics()))
        {
            sockets.addAll(fillBacklog(listener));
            GaugehollowException failure = assertThrows(GaugehollowException.class,
                    () -> link.call(Frame.newBuilder().setStore(StoreCall.getDefaultInstance()), 50));
            assertThat(failure.code()).isEqualTo(ResultCode.PEER_UNREACHABLE);
            assertThat(failure).hasMessageThat().contains("not connected in time");
        }
        finally
        {
            for (Socket socket : sockets)
            {
                socket.close();
            }
            loops.close();
        }
    }

    private static void call(PeerLink link, AtomicInteger unreachable)
    {
        try
        {
            link.call(Frame.newBuilder().setStore(StoreCall.getDefaultInstance()), 1_000);
        }
        catch (GaugehollowException e)
        {
            if (e.code() == ResultCode.PEER_UNREACHABLE)
            {
                unreachable.incrementAndGet();
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }
}
