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
 * Simulates an upstream in tests and in the local cell: runs requests, reports running tasks,
 * accepts claims of owners, rejects older owners if fencing is on, drains when it leaves, and
 * records every run.
 */
public final class WorkerStandin implements AutoCloseable
{
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_RECORDED_BODY_CHARS = 120;
    private static final long DRAIN_POLL_MILLIS = 10;

    private final WorkerStandinOptions options;
    private final RunningTasks tasks;
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final HttpServer server;

    /**
     * Starts the stand-in.
     *
     * @param loops event loops of the server
     * @param address listen address
     * @param options worker options
     */
    public WorkerStandin(NetLoops loops, InetSocketAddress address, WorkerStandinOptions options)
    {
        this.options = options;
        this.tasks = new RunningTasks(options.capacity(), options.fencing());
        EventLog events = new EventLog(options.id(), new HybridClock(System::currentTimeMillis));
        this.server = new HttpServer(loops, address, MAX_BODY_BYTES, events, this::handle);
    }

    /** @return listen address */
    public InetSocketAddress address()
    {
        return server.address();
    }

    /**
     * Returns the roster entry of this worker.
     *
     * @param advertised address for boxes to connect to
     * @param state {@code live} or {@code leaving}
     * @param gone whether the worker is removed from the roster
     * @return the roster entry
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

    /** Rejects new requests; requests in flight continue. */
    public void leave()
    {
        leaving.set(true);
    }

    /**
     * Waits until no task runs.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain() throws InterruptedException
    {
        while (!tasks.running().isEmpty())
        {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
    }

    /** @return records of all runs so far */
    public WorkerRecords records()
    {
        return tasks.records(options.id());
    }

    private void handle(HttpExchange exchange) throws InterruptedException
    {
        switch (exchange.request().path())
        {
            case "/gaugehollow/claim" -> claim(exchange);
            case "/gaugehollow/tasks" -> exchange.respond(HttpReply.json(OK, createReport(true)));
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
        exchange.respond(HttpReply.json(accepted ? OK : CONFLICT, createReport(accepted)));
    }

    private UpstreamReport createReport(boolean accepted)
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
            tasks.recordRejection();
            exchange.respond(createRejection(UNAVAILABLE, id, "leaving"));
            return;
        }
        UpstreamTask task = new UpstreamTask(id, parseEpoch(request), parseNeeds(request));
        String bodyText = new String(request.body(), StandardCharsets.UTF_8);
        Optional<Long> start = tasks.start(task, request.header(UpstreamHeaders.KEY).orElse(""),
                bodyText.substring(0, Math.min(bodyText.length(), MAX_RECORDED_BODY_CHARS)));
        if (start.isEmpty())
        {
            exchange.respond(createRejection(CONFLICT, id, "fenced"));
            return;
        }
        TaskBehaviour behaviour = TaskBehaviour.of(request.body());
        try
        {
            Thread.sleep(behaviour.millis());
        }
        finally
        {
            tasks.recordEnd(start.get());
        }
        respond(exchange, id, behaviour);
    }

    private void respond(HttpExchange exchange, String task, TaskBehaviour behaviour)
            throws InterruptedException
    {
        byte[] body = behaviour.echo() == null
                ? exchange.request().body()
                : Json.write(Map.of("echo", behaviour.echo()));
        HttpReply reply = HttpReply.of(OK, HttpReply.JSON_TYPE, body);
        reply.headers().set(UpstreamHeaders.TASK, behaviour.behavesAs("wrong-task") ? "another" : task);
        if (behaviour.behavesAs("unnamed"))
        {
            reply.headers().remove(UpstreamHeaders.TASK);
        }
        if (behaviour.behavesAs("drop"))
        {
            exchange.abort();
        }
        else if (behaviour.behavesAs("cut"))
        {
            exchange.respondTruncated(reply);
        }
        else
        {
            exchange.respond(reply);
            if (behaviour.behavesAs("twice"))
            {
                exchange.respond(reply);
            }
        }
    }

    private static HttpReply createRejection(int status, String task, String reason)
    {
        HttpReply reply = HttpReply.json(status, Map.of("reason", reason));
        reply.headers().set(UpstreamHeaders.TASK, task);
        reply.headers().set(UpstreamHeaders.NOT_RUN, reason);
        return reply;
    }

    private static long parseEpoch(HttpMessage request)
    {
        return request.header(UpstreamHeaders.EPOCH).map(Long::parseLong).orElse(0L);
    }

    private static ComputeResources parseNeeds(HttpMessage request)
    {
        Map<String, Integer> amounts = new HashMap<>();
        for (String part : request.header(UpstreamHeaders.NEEDS).orElse("slots=1").split(";"))
        {
            int equals = part.indexOf('=');
            amounts.put(part.substring(0, equals), Integer.parseInt(part.substring(equals + 1)));
        }
        return new ComputeResources(amounts.getOrDefault("slots", 1), amounts.getOrDefault("cpuMillis", 0),
                amounts.getOrDefault("memoryMib", 0), amounts.getOrDefault("accelerators", 0));
    }

    @Override
    public void close()
    {
        server.close();
    }
}
