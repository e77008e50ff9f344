/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Optional;

import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.NetLoops;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Prints a resource, all resources of a kind, or the status of a box. */
@Parameters(commandDescription = "show KIND, KIND/NAME or status")
final class GetCommand implements Command
{
    @Parameter(description = "KIND | KIND/NAME | status", required = true)
    private String resource;

    @ParametersDelegate
    private final ServerOptions server = new ServerOptions();

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    @Override
    public String name()
    {
        return "get";
    }

    @Override
    public String examples()
    {
        return "gaugehollow get workloads\ngaugehollow get workloads/goal --output json\ngaugehollow get status";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        try (NetLoops loops = new NetLoops(Optional.empty()); HttpCaller caller = server.createCaller(loops))
        {
            return Replies.print(console, Replies.call(caller, "GET", "/v1/" + resource, new byte[0]),
                    output.isJson());
        }
    }
}
