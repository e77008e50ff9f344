/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.gaugehollow.event.Event;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Prints the events of several boxes, ordered by hybrid time. */
@Parameters(commandDescription = "show the events of several boxes in time order")
final class TimelineCommand implements Command
{
    @Parameter(names = "--servers", required = true, description = "operator addresses of the boxes, separated by commas")
    private List<String> servers = new ArrayList<>();

    @Parameter(names = "--subject", description = "only events about this task, worker, box or resource")
    private String subject;

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    @Override
    public String name()
    {
        return "timeline";
    }

    @Override
    public String examples()
    {
        return "gaugehollow timeline --servers 127.0.0.1:7711,127.0.0.1:7721 --subject bole-1~4f2a9c-1z";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        List<Event> merged = new ArrayList<>();
        ExitCode result = ExitCode.OK;
        try (NetLoops loops = new NetLoops(Optional.empty()))
        {
            for (String server : servers)
            {
                result = addEvents(console, loops, server, merged) ? result : ExitCode.UNREACHABLE;
            }
        }
        merged.sort(Comparator.comparingLong(Event::time));
        merged.stream().filter(e -> subject == null || subject.equals(e.subject()))
                .forEach(e -> printEvent(console, e));
        return result;
    }

    /** Adds the events of one box; returns false and prints a diagnostic if the box does not answer. */
    private static boolean addEvents(Console console, NetLoops loops, String server, List<Event> merged)
            throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(server)))
        {
            HttpReply reply = Replies.call(caller, "GET", "/v1/timeline", new byte[0]);
            merged.addAll(List.of(Json.read(reply.body(), Event[].class, ResultCode.STORE_BAD_ANSWER)));
            return true;
        }
        catch (GaugehollowException e)
        {
            console.printDiagnostic("cannot read events of " + server + ": " + e.getMessage());
            return false;
        }
    }

    private void printEvent(Console console, Event event)
    {
        if (output.isJson())
        {
            console.printJson(event);
            return;
        }
        Instant at = Instant.ofEpochMilli(HybridClock.millisOf(event.time()));
        console.printLine(String.format("%s %-22s E%d %-20s %s %s", at, event.process(), event.number(),
                event.name(), event.subject(), event.text()));
    }
}
