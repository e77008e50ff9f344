/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.OptionalLong;

import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Guards against taking an address for free at which an earlier process still listens. */
class AddressClaimTest
{
    private static ServerSocket listen(int port) throws IOException
    {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }

    @Test
    void addressOfAListeningProcessIsNotClaimed() throws IOException
    {
        try (ServerSocket server = listen(0);
                AddressClaim claim = new AddressClaim((InetSocketAddress) server.getLocalSocketAddress()))
        {
            assertThat(claim.nanos()).isEqualTo(OptionalLong.empty());
        }
    }

    @Test
    void claimIsExclusiveAndEndsForTheServer() throws IOException
    {
        InetSocketAddress address;
        try (ServerSocket server = listen(0))
        {
            address = (InetSocketAddress) server.getLocalSocketAddress();
        }
        long beforeNanos = SteadyClock.nanos();
        try (AddressClaim claim = new AddressClaim(address))
        {
            assertThat(claim.nanos().orElseThrow()).isAtLeast(beforeNanos);
            assertThrows(IOException.class, () -> listen(address.getPort()));
        }
        listen(address.getPort()).close();
    }
}
