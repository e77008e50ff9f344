/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpConnection;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.time.SteadyClock;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** Prints resource changes or placements as they happen, one JSON object per line. */
@Parameters(commandDescription = "show changes of KIND, or placements, as they happen")
final class WatchCommand implements Command
{
    private static final int OK = 200;
    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;
    private static final long READ_TIMEOUT_SECONDS = 30;

    @Parameter(description = "KIND | placements", required = true)
    private String target;

    @Parameter(names = "--from", description = "revision or placement number to start after; default: the current one")
    private Long from;

    @ParametersDelegate
    private final ServerOptions server = new ServerOptions();

    @Override
    public String name()
    {
        return "watch";
    }

    @Override
    public String examples()
    {
        return "gaugehollow watch workloads --from 120\ngaugehollow watch placements";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        String query = from == null ? "watch=true" : "watch=true&from=" + from;
        HttpMessage request = new HttpMessage("GET", "/v1/" + target, query, new DefaultHttpHeaders(),
                new byte[0]);
        try (NetLoops loops = new NetLoops(Optional.empty());
                HttpCaller caller = server.createCaller(loops);
                HttpConnection connection = caller.openOwn(CONNECT_TIMEOUT_MILLIS))
        {
            HttpReply head = connection.openStream(request, nextDeadline());
            byte[] chunk = connection.readChunk(nextDeadline(), false);
            while (chunk != null)
            {
                console.printLine(new String(chunk, StandardCharsets.UTF_8).stripTrailing());
                chunk = connection.readChunk(nextDeadline(), false);
            }
            return head.status() == OK ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    private static long nextDeadline()
    {
        return SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(READ_TIMEOUT_SECONDS);
    }
}
