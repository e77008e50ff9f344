/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.standin.PlatformStandin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Runs the platform stand-in as a separate process. */
@Parameters(commandDescription = "run the platform stand-in, for tests")
final class PlatformStandinCommand implements Command
{
    @Parameter(names = "--listen", description = "listen address")
    private String listen = "127.0.0.1:0";

    @Parameter(names = "--roster-lag-millis", description = "delay of the worker roster in milliseconds")
    private long lagMillis = 1_000;

    @Override
    public String name()
    {
        return "platform-standin";
    }

    @Override
    public String examples()
    {
        return "gaugehollow platform-standin --listen 127.0.0.1:7700";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        NetLoops loops = new NetLoops(Optional.empty());
        PlatformStandin platform = new PlatformStandin(loops, NetAddress.parse(listen), lagMillis);
        console.printLine("ready " + NetAddress.format(platform.address()));
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }
}
