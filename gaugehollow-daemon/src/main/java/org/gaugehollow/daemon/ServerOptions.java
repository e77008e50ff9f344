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

/** Which box a command asks. */
final class ServerOptions
{
    static final String DEFAULT_OPERATOR = "127.0.0.1:7711";
    private static final String VARIABLE = "GAUGEHOLLOW_SERVER";

    @Parameter(names = "--server", description = "operators' address of a box; else the variable " + VARIABLE
            + ", else " + DEFAULT_OPERATOR)
    private String server;

    String address()
    {
        return Optional.ofNullable(server).or(() -> Optional.ofNullable(System.getenv(VARIABLE)))
                .orElse(DEFAULT_OPERATOR);
    }

    HttpCaller caller(NetLoops loops)
    {
        return new HttpCaller(loops, NetAddress.parse(address()));
    }
}
