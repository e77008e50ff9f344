/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResourceKind;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpHandler;
import org.gaugehollow.net.HttpReply;

/** HTTP API for operators: resources, placements, events, status, metrics and health. */
final class OperatorApi implements HttpHandler
{
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int KIND_INDEX = 2;
    private static final int NAME_INDEX = 3;
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ResourceApi resources;
    private final PlacementLog placements;
    private final EventLog events;
    private final Metrics metrics;
    private final Supplier<BoxReport> report;

    OperatorApi(ResourceApi resources, PlacementLog placements, EventLog events, Metrics metrics,
            Supplier<BoxReport> report)
    {
        this.resources = resources;
        this.placements = placements;
        this.events = events;
        this.metrics = metrics;
        this.report = report;
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException
    {
        switch (exchange.request().path())
        {
            case "/healthz" -> exchange.respond(HttpReply.json(OK, Map.of("status", "alive")));
            case "/readyz" -> sendReadiness(exchange);
            case "/metrics" -> exchange.respond(HttpReply.of(OK, Metrics.CONTENT_TYPE, metrics.scrape()));
            case "/v1/status" -> exchange.respond(HttpReply.json(OK, report.get()));
            case "/v1/timeline" -> sendTimeline(exchange);
            case "/v1/placements" -> watchPlacements(exchange);
            default -> routeResource(exchange);
        }
    }

    private void sendReadiness(HttpExchange exchange) throws InterruptedException
    {
        BoxReport current = report.get();
        exchange.respond(
                HttpReply.json(current.ready() ? OK : UNAVAILABLE, Map.of("ready", current.ready())));
    }

    private void sendTimeline(HttpExchange exchange) throws InterruptedException
    {
        long after = exchange.request().parameter("after").map(ResourceApi::parseNumber).orElse(0L);
        exchange.respond(HttpReply.json(OK, events.since(after)));
    }

    private void routeResource(HttpExchange exchange) throws InterruptedException
    {
        String[] parts = exchange.request().path().split("/", -1);
        boolean versioned = parts.length > KIND_INDEX && "v1".equals(parts[1]);
        Optional<ResourceKind> kind = versioned ? ResourceKind.ofPlural(parts[KIND_INDEX]) : Optional.empty();
        if (kind.isEmpty() || parts.length > NAME_INDEX + 1)
        {
            throw new GaugehollowException(ResultCode.UNKNOWN_PATH, "unknown path");
        }
        if (parts.length == NAME_INDEX)
        {
            resources.handleKind(exchange, kind.get());
        }
        else
        {
            resources.handleResource(exchange, kind.get(), parts[NAME_INDEX]);
        }
    }

    private void watchPlacements(HttpExchange exchange) throws InterruptedException
    {
        long lastSequence = exchange.request().parameter("from").map(ResourceApi::parseNumber)
                .orElseGet(placements::lastSequence);
        exchange.startLines();
        while (exchange.isOpen())
        {
            Optional<List<PlacementLog.Entry>> entries = placements.awaitAfter(lastSequence,
                    HEARTBEAT_INTERVAL_NANOS);
            if (entries.isEmpty())
            {
                exchange.writeLine(Json.write(new WatchLine("ERROR", lastSequence, null,
                        "placements after this sequence number are no longer retained")));
                exchange.endLines();
                return;
            }
            for (PlacementLog.Entry entry : entries.get())
            {
                lastSequence = entry.sequence();
                exchange.writeLine(Json.write(entry));
            }
            if (entries.get().isEmpty())
            {
                exchange.writeLine(Json.write(new WatchLine("HEARTBEAT", lastSequence, null, null)));
            }
        }
    }
}
