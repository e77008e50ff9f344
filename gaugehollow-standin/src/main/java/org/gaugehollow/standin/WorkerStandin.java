/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpServer;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.upstream.UpstreamClaim;
import org.gaugehollow.upstream.UpstreamHeaders;
import org.gaugehollow.upstream.UpstreamReport;
import org.gaugehollow.upstream.UpstreamTask;

/**
 * Takes an upstream's place in tests and in the local cell: runs requests, tells what runs, is
 * claimed by its owner, refuses older owners where fencing is on, drains when it leaves, and
 * records every run.
 */
public final class WorkerStandin implements AutoCloseable
{
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int LARGEST_BODY = 1 << 20;
    private static final int SHOWN_BODY = 120;
    private static final long DRAIN_STEP_MILLIS = 10;

    private final WorkerStandinOptions options;
    private final RunningTasks tasks;
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final HttpServer server;

    /**
     * Starts to listen.
     *
     * @param loops the event loops
     * @param address where to listen
     * @param options what the worker is
     */
    public WorkerStandin(NetLoops loops, InetSocketAddress address, WorkerStandinOptions options)
    {
        this.options = options;
        this.tasks = new RunningTasks(options.capacity(), options.fencing());
        EventLog events = new EventLog(options.id(), new HybridClock(System::currentTimeMillis));
        this.server = new HttpServer(loops, address, LARGEST_BODY, events, this::handle);
    }

    /** @return the address it listens on */
    public InetSocketAddress address()
    {
        return server.address();
    }

    /**
     * The line of the platform's list that describes this worker.
     *
     * @param advertised the address that boxes are to use
     * @param state {@code live} or {@code leaving}
     * @param gone whether the worker is to vanish from the list
     * @return the line
     */
    public RosterLine rosterLine(String advertised, String state, boolean gone)
    {
        ComputeResources capacity = options.capacity();
        Map<String, String> labels = new HashMap<>();
        labels.put("worker", options.id());
        labels.put("hall", options.hall());
        labels.put("rack", options.rack());
        labels.put("slots", Integer.toString(capacity.slots()));
        labels.put("cpu_millis", Integer.toString(capacity.cpuMillis()));
        labels.put("memory_mib", Integer.toString(capacity.memoryMib()));
        labels.put("accelerators", Integer.toString(capacity.accelerators()));
        labels.put("state", state);
        return new RosterLine(advertised, labels, gone);
    }

    /** From now on new requests are refused, those in flight go on. */
    public void leave()
    {
        leaving.set(true);
    }

    /**
     * Waits until nothing runs.
     *
     * @throws InterruptedException if the process stops
     */
    public void drain() throws InterruptedException
    {
        while (!tasks.running().isEmpty())
        {
            Thread.sleep(DRAIN_STEP_MILLIS);
        }
    }

    /** @return what was recorded so far */
    public WorkerRecords records()
    {
        return tasks.records(options.id());
    }

    private void handle(HttpExchange exchange) throws InterruptedException
    {
        switch (exchange.request().path())
        {
            case "/gaugehollow/claim" -> claim(exchange);
            case "/gaugehollow/tasks" -> exchange.respond(HttpReply.json(OK, report(true)));
            case "/standin/records" -> exchange.respond(HttpReply.json(OK, records()));
            case "/standin/leave" -> {
                leave();
                exchange.respond(HttpReply.json(OK, Map.of()));
            }
            default -> run(exchange);
        }
    }

    private void claim(HttpExchange exchange) throws InterruptedException
    {
        UpstreamClaim claim = Json.read(exchange.request().body(), UpstreamClaim.class,
                ResultCode.BAD_REQUEST);
        boolean accepted = tasks.claim(claim.epoch());
        exchange.respond(HttpReply.json(accepted ? OK : CONFLICT, report(accepted)));
    }

    private UpstreamReport report(boolean accepted)
    {
        return new UpstreamReport(accepted, options.fencing(), leaving.get(), tasks.running());
    }

    private void run(HttpExchange exchange) throws InterruptedException
    {
        HttpMessage request = exchange.request();
        String id = request.header(UpstreamHeaders.TASK)
                .orElseThrow(() -> new GaugehollowException(ResultCode.BAD_REQUEST,
                        "header " + UpstreamHeaders.TASK + " is missing"));
        if (leaving.get())
        {
            tasks.refuse();
            exchange.respond(refusal(UNAVAILABLE, id, "leaving"));
            return;
        }
        UpstreamTask task = new UpstreamTask(id, epochOf(request), needsOf(request));
        String shown = new String(request.body(), StandardCharsets.UTF_8);
        Optional<Long> start = tasks.start(task, request.header(UpstreamHeaders.KEY).orElse(""),
                shown.substring(0, Math.min(shown.length(), SHOWN_BODY)));
        if (start.isEmpty())
        {
            exchange.respond(refusal(CONFLICT, id, "fenced"));
            return;
        }
        TaskBehaviour behaviour = TaskBehaviour.of(request.body());
        try
        {
            Thread.sleep(behaviour.millis());
        }
        finally
        {
            tasks.end(start.get());
        }
        answer(exchange, id, behaviour);
    }

    private void answer(HttpExchange exchange, String task, TaskBehaviour behaviour)
            throws InterruptedException
    {
        byte[] body = behaviour.echo() == null
                ? exchange.request().body()
                : Json.write(Map.of("echo", behaviour.echo()));
        HttpReply reply = HttpReply.of(OK, HttpReply.JSON_TYPE, body);
        reply.headers().set(UpstreamHeaders.TASK, behaviour.does("wrong-task") ? "another" : task);
        if (behaviour.does("unnamed"))
        {
            reply.headers().remove(UpstreamHeaders.TASK);
        }
        if (behaviour.does("drop"))
        {
            exchange.abort();
        }
        else if (behaviour.does("cut"))
        {
            exchange.respondTruncated(reply);
        }
        else
        {
            exchange.respond(reply);
            if (behaviour.does("twice"))
            {
                exchange.respond(reply);
            }
        }
    }

    private static HttpReply refusal(int status, String task, String reason)
    {
        HttpReply reply = HttpReply.json(status, Map.of("reason", reason));
        reply.headers().set(UpstreamHeaders.TASK, task);
        reply.headers().set(UpstreamHeaders.NOT_RUN, reason);
        return reply;
    }

    private static long epochOf(HttpMessage request)
    {
        return request.header(UpstreamHeaders.EPOCH).map(Long::parseLong).orElse(0L);
    }

    private static ComputeResources needsOf(HttpMessage request)
    {
        Map<String, Integer> parts = new HashMap<>();
        for (String part : request.header(UpstreamHeaders.NEEDS).orElse("slots=1").split(";"))
        {
            int equals = part.indexOf('=');
            parts.put(part.substring(0, equals), Integer.parseInt(part.substring(equals + 1)));
        }
        return new ComputeResources(parts.getOrDefault("slots", 1), parts.getOrDefault("cpuMillis", 0),
                parts.getOrDefault("memoryMib", 0), parts.getOrDefault("accelerators", 0));
    }

    @Override
    public void close()
    {
        server.close();
    }
}
