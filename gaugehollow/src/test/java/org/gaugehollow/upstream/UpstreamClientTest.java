/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against sending a request after the rights ended while the connection was opened. */
class UpstreamClientTest
{
    private static final int READ_TIMEOUT_MILLIS = 300;
    private static final int END_OF_STREAM = -1;
    private static final UpstreamRequest REQUEST = new UpstreamRequest("task-1", "team", "", "/run",
            new ComputeResources(1, 0, 0, 0), "text/plain", new byte[0]);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final NetLoops loops = new NetLoops(Optional.empty());

    @AfterEach
    void tearDown()
    {
        loops.close();
    }

    private static Optional<Socket> tryAccept(ServerSocket listener)
    {
        try
        {
            return Optional.of(listener.accept());
        }
        catch (IOException e)
        {
            return Optional.empty();
        }
    }

    @Test
    void rightsLostWhileConnectingPreventTheRequest() throws IOException
    {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                UpstreamClient client = new UpstreamClient(loops, "w1",
                        new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()), events))
        {
            listener.setSoTimeout(READ_TIMEOUT_MILLIS);
            Optional<?>[] connection = new Optional<?>[1];
            long deadline = SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(3);
            GaugehollowException rejection = assertThrows(GaugehollowException.class,
                    () -> client.run(REQUEST, 1, deadline, () ->
                    {
                        connection[0] = tryAccept(listener);
                        return false;
                    }));
            assertThat(rejection.code()).isEqualTo(ResultCode.NO_RIGHTS);
            assertThat(connection[0].isPresent()).isTrue();
            try (Socket socket = (Socket) connection[0].get())
            {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                assertThat(socket.getInputStream().read()).isEqualTo(END_OF_STREAM);
            }
        }
    }
}
