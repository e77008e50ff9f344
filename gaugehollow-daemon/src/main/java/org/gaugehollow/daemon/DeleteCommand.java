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

/** Deletes a resource. */
@Parameters(commandDescription = "delete KIND/NAME")
final class DeleteCommand implements Command
{
    @Parameter(description = "KIND/NAME", required = true)
    private String resource;

    @ParametersDelegate
    private final ServerOptions server = new ServerOptions();

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    @Override
    public String name()
    {
        return "delete";
    }

    @Override
    public String examples()
    {
        return "gaugehollow delete policies/night-packing";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        try (NetLoops loops = new NetLoops(Optional.empty()); HttpCaller caller = server.createCaller(loops))
        {
            return Replies.print(console, new ResourceClient(caller).delete("/v1/" + resource),
                    output.isJson());
        }
    }
}
