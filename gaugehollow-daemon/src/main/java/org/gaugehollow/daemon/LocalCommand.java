/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import org.gaugehollow.entry.EntryBox;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Starts a cell on loopback addresses and prints a command to try. */
@Parameters(commandDescription = "start a local cell on loopback addresses")
final class LocalCommand implements Command
{
    private static final int OK = 200;
    private static final int MAX_READY_PROBES = 100;
    private static final long PROBE_INTERVAL_MILLIS = 100;
    private static final int PROBES_PER_MESSAGE = 20;

    @Parameter(names = "--port", description = "first port")
    private int port = 7_710;

    @Parameter(names = "--workers", description = "number of workers")
    private int workers = 4;

    @Override
    public String name()
    {
        return "local";
    }

    @Override
    public String examples()
    {
        return "gaugehollow local\ngaugehollow local --port 8800 --workers 8";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        try (LocalCell cell = new LocalCell(port, workers); NetLoops loops = new NetLoops(Optional.empty()))
        {
            EntryBox first = cell.boxes().getFirst();
            try (HttpCaller caller = new HttpCaller(loops, first.operatorAddress()))
            {
                awaitReady(console, caller);
                for (ResourceFile resource : demoResources())
                {
                    new ResourceClient(caller).apply(resource);
                }
            }
            for (EntryBox box : cell.boxes())
            {
                console.printLine(box.id() + "  callers " + NetAddress.format(box.callerAddress())
                        + "  operators " + NetAddress.format(box.operatorAddress()));
            }
            console.printLine("ready; try in another shell:\n  bin/gaugehollow submit lookup --server "
                    + NetAddress.format(first.callerAddress()));
            new CountDownLatch(1).await();
        }
        return ExitCode.OK;
    }

    private static void awaitReady(Console console, HttpCaller caller) throws InterruptedException
    {
        for (int i = 1; i <= MAX_READY_PROBES; i++)
        {
            if (isReady(caller))
            {
                return;
            }
            if (i % PROBES_PER_MESSAGE == 0)
            {
                console.printDiagnostic("waiting for the first assignment map ...");
            }
            Thread.sleep(PROBE_INTERVAL_MILLIS);
        }
        throw new GaugehollowException(ResultCode.INTERNAL, "the cell did not become ready");
    }

    private static boolean isReady(HttpCaller caller) throws InterruptedException
    {
        HttpReply reply = Replies.call(caller, "GET", "/readyz", new byte[0]);
        return reply.status() == OK;
    }

    private static List<ResourceFile> demoResources()
    {
        return List.of(createResource("teams", "demo", Map.of("homeHall", "local")),
                createResource("workloads", "lookup", Map.of("taskClass", "booking", "repeatable", true)),
                createResource("workloads", "goal", Map.of("taskClass", "urgent", "repeatable", false)),
                createResource("workloads", "rebuild",
                        Map.of("taskClass", "batch", "repeatable", true, "timeoutMillis", 60_000)));
    }

    private static ResourceFile createResource(String kind, String name, Map<String, Object> spec)
    {
        return new ResourceFile(kind, name, Json.mapper().valueToTree(spec));
    }
}
