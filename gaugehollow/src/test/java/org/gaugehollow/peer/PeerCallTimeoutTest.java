/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.RelayCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import com.google.protobuf.ByteString;

/** Guards against calls that wait longer than their timeout. */
class PeerCallTimeoutTest
{
    /** More than the send and receive buffers of a loopback connection hold. */
    private static final int LARGE_BODY_BYTES = 64 << 20;
    private static final Duration MAX_CALL_TIME = Duration.ofSeconds(10);

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));

    @AfterEach
    void close()
    {
        loops.close();
    }

    @Test
    void callToPeerThatReadsNothingEndsWithinItsTimeout() throws Exception
    {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                PeerLink link = new PeerLink(loops, (InetSocketAddress) listener.getLocalSocketAddress(),
                        events, new Metrics()))
        {
            Frame.Builder call = Frame.newBuilder().setRelay(
                    RelayCall.newBuilder().setBody(ByteString.copyFrom(new byte[LARGE_BODY_BYTES])));
            GaugehollowException failure = assertTimeoutPreemptively(MAX_CALL_TIME,
                    () -> assertThrows(GaugehollowException.class, () -> link.call(call, 500)));
            assertThat(failure.code()).isEqualTo(ResultCode.PEER_LOST);
        }
    }
}
