/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.time.SteadyClock;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Sends an open-loop load to boxes on loopback addresses and prints rates and latencies. */
@Parameters(commandDescription = "send an open-loop load and print rates and latencies")
final class LoadCommand implements Command
{
    @Parameter(names = "--servers", description = "caller addresses of the boxes, separated by commas")
    private List<String> servers = new ArrayList<>(List.of(SubmitCommand.DEFAULT_CALLER_ADDRESS));

    @Parameter(names = "--mix", required = true, description = "JSON file with the request mix")
    private String mixFile;

    @Parameter(names = "--rate", description = "requests per second")
    private double rate = 100;

    @Parameter(names = "--seconds", description = "duration in seconds")
    private int seconds = 10;

    @Parameter(names = "--timeout-millis", description = "timeout of each request in milliseconds")
    private int timeoutMillis = 5_000;

    @Parameter(names = "--seed", description = "random seed for arrival times and request types")
    private long seed = 1;

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    @Override
    public String name()
    {
        return "load";
    }

    @Override
    public String examples()
    {
        return "gaugehollow load --mix examples/mix.json --rate 200 --seconds 10 --servers 127.0.0.1:7710,127.0.0.1:7720";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        LoadMix mix = Json.read(readMix(), LoadMix.class, ResultCode.SETTINGS_RANGE);
        try (NetLoops loops = new NetLoops(Optional.empty()))
        {
            List<HttpCaller> callers = new ArrayList<>();
            for (String server : servers)
            {
                if (!NetAddress.parse(server).getAddress().isLoopbackAddress())
                {
                    throw new GaugehollowException(ResultCode.SETTINGS_RANGE,
                            "only loopback addresses are allowed");
                }
                callers.add(new HttpCaller(loops, NetAddress.parse(server)));
            }
            LoadRun run = new LoadRun(mix, callers, rate, seconds, timeoutMillis, seed);
            long startedAt = SteadyClock.nanos();
            List<LoadResult.Summary> summaries = run
                    .run(() -> console.printDiagnostic(run.sent() + " requests sent"));
            printSummaries(console, summaries, (SteadyClock.nanos() - startedAt) / 1e9);
            callers.forEach(HttpCaller::close);
        }
        return ExitCode.OK;
    }

    private byte[] readMix()
    {
        try
        {
            return Files.readAllBytes(Path.of(mixFile));
        }
        catch (IOException e)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_UNREADABLE, "cannot read " + mixFile, e);
        }
    }

    private void printSummaries(Console console, List<LoadResult.Summary> summaries, double elapsedSeconds)
    {
        if (output.isJson())
        {
            console.printJson(summaries);
            return;
        }
        console.printLine(String.format("%-12s %9s %9s %9s %9s %9s %9s  codes", "workload", "offered/s",
                "answered/s", "p50 ms", "p99 ms", "p99.9 ms", "max ms"));
        for (LoadResult.Summary summary : summaries)
        {
            console.printLine(String.format("%-12s %9.1f %9.1f %9.2f %9.2f %9.2f %9.2f  %s",
                    summary.workload(), (double) summary.offered() / seconds,
                    summary.answered() / elapsedSeconds, summary.p50Millis(), summary.p99Millis(),
                    summary.p999Millis(), summary.maxMillis(), summary.codes()));
        }
    }
}
