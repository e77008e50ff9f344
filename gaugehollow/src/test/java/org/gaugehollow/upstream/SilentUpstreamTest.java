/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/**
 * Guards against calls that wait forever for an upstream that reads nothing and stays connected.
 */
class SilentUpstreamTest
{
    private static final int TIMEOUT_MILLIS = 400;
    private static final Duration MAX_DURATION = Duration.ofSeconds(10);
    private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
    /** Exceeds the socket buffers of both sides. */
    private static final int LARGE_BODY_BYTES = 32 << 20;

    private final NetLoops loops = new NetLoops(Optional.empty());
    private ServerSocket upstream;
    private UpstreamClient client;

    @BeforeEach
    void listen() throws IOException
    {
        upstream = new ServerSocket();
        upstream.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        upstream.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        client = new UpstreamClient(loops, "w1", (InetSocketAddress) upstream.getLocalSocketAddress(),
                new EventLog("test", new HybridClock(System::currentTimeMillis)));
    }

    @AfterEach
    void close() throws IOException
    {
        client.close();
        upstream.close();
        loops.close();
    }

    private static void assertTimesOut(Executable call)
    {
        ResultCode code = assertTimeoutPreemptively(MAX_DURATION,
                () -> assertThrows(GaugehollowException.class, call).code());
        assertThat(code).isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
    }

    private void assertRunTimesOut(int bodyBytes)
    {
        UpstreamRequest request = new UpstreamRequest("task-1", "team", "", "/run",
                new ComputeResources(1, 0, 0, 0), "text/plain", new byte[bodyBytes]);
        assertTimesOut(() -> client.run(request, 1,
                SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS), () -> true));
    }

    @Test
    void aRequestTimesOut()
    {
        assertRunTimesOut(1);
    }

    @Test
    void aLargeRequestTimesOut()
    {
        assertRunTimesOut(LARGE_BODY_BYTES);
    }

    @Test
    void aClaimTimesOut()
    {
        assertTimesOut(() -> client.claim(new UpstreamClaim("box", 1)));
    }

    @Test
    void aReportTimesOut()
    {
        assertTimesOut(client::report);
    }
}
