/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Optional;

import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;

import com.beust.jcommander.Parameter;

/** Options that select the box to call. */
final class ServerOptions
{
    static final String DEFAULT_OPERATOR_ADDRESS = "127.0.0.1:7711";
    private static final String SERVER_VARIABLE = "GAUGEHOLLOW_SERVER";

    @Parameter(names = "--server", description = "operator address of a box; default: environment variable "
            + SERVER_VARIABLE + " or " + DEFAULT_OPERATOR_ADDRESS)
    private String server;

    String address()
    {
        return Optional.ofNullable(server).or(() -> Optional.ofNullable(System.getenv(SERVER_VARIABLE)))
                .orElse(DEFAULT_OPERATOR_ADDRESS);
    }

    HttpCaller createCaller(NetLoops loops)
    {
        return new HttpCaller(loops, NetAddress.parse(address()));
    }
}
