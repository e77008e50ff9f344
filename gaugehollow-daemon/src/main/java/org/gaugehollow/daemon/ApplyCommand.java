/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetLoops;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Creates or changes the resources described in files. */
@Parameters(commandDescription = "create or change resources from files")
final class ApplyCommand implements Command
{
    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();

    @ParametersDelegate
    private final ServerOptions server = new ServerOptions();

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    @Override
    public String name()
    {
        return "apply";
    }

    @Override
    public String examples()
    {
        return "gaugehollow apply workloads.json --server 10.1.0.4:7711";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        List<ResourceFile> resources = new ArrayList<>();
        for (String file : files)
        {
            resources.addAll(ResourceFile.readAll(Path.of(file)));
        }
        try (NetLoops loops = new NetLoops(Optional.empty()); HttpCaller caller = server.createCaller(loops))
        {
            ResourceClient client = new ResourceClient(caller);
            for (ResourceFile resource : resources)
            {
                HttpReply reply = client.apply(resource);
                if (Replies.isError(reply))
                {
                    return Replies.print(console, reply, output.isJson());
                }
                if (output.isJson())
                {
                    Replies.print(console, reply, true);
                }
                else
                {
                    console.printLine("applied " + resource.kind() + '/' + resource.name() + " revision "
                            + reply.headers().get("ETag"));
                }
            }
        }
        return ExitCode.OK;
    }
}
