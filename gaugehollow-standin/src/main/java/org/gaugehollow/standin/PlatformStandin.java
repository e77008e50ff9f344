/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpRequest;
import org.gaugehollow.net.HttpServer;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.platform.StoreBudget;
import org.gaugehollow.platform.StoreChange;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.time.SteadyClock;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Simulates the platform in tests and in the local cell: the part of the etcd v3 JSON protocol that
 * gaugehollow uses, and the worker roster in the Prometheus HTTP service discovery format. It
 * limits the call rate, and switches simulate slow answers, outages and lost answers.
 */
public final class PlatformStandin implements AutoCloseable
{
    /** The platform's budget is some hundred writes and about two thousand reads per second. */
    private static final int WRITES_PER_SECOND = 500;
    private static final int READS_PER_SECOND = 2_000;
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final int OK = 200;
    private static final int WATCH_WAIT_MILLIS = 100;
    private static final long LEASE_CHECK_INTERVAL_MILLIS = 50;

    private final StandinStore store = new StandinStore(SteadyClock::nanos);
    private final StandinRoster roster;
    private final AtomicReference<PlatformSwitches> switches = new AtomicReference<>(PlatformSwitches.NORMAL);
    private final AtomicInteger writeAnswersToDrop = new AtomicInteger();
    private final StoreBudget writeBudget = new StoreBudget(WRITES_PER_SECOND, WRITES_PER_SECOND,
            SteadyClock::nanos);
    private final StoreBudget readBudget = new StoreBudget(READS_PER_SECOND, READS_PER_SECOND,
            SteadyClock::nanos);
    private final Map<String, AtomicInteger> callCounts = new ConcurrentHashMap<>();
    private final HttpServer server;
    private final Thread leaseExpirer;

    /**
     * Starts the stand-in.
     *
     * @param loops event loops of the server
     * @param address listen address
     * @param rosterLagMillis delay in milliseconds before a change appears in the roster
     */
    public PlatformStandin(NetLoops loops, InetSocketAddress address, long rosterLagMillis)
    {
        roster = new StandinRoster(rosterLagMillis, SteadyClock::nanos);
        EventLog events = new EventLog("platform-standin", new HybridClock(System::currentTimeMillis));
        server = new HttpServer(loops, address, MAX_BODY_BYTES, events, this::handle);
        leaseExpirer = Thread.ofVirtual().name("platform-ticker").start(this::expireLeasesPeriodically);
    }

    /** @return listen address */
    public InetSocketAddress address()
    {
        return server.address();
    }

    /**
     * Changes the simulated faults.
     *
     * @param newSwitches new switches
     */
    public void setSwitches(PlatformSwitches newSwitches)
    {
        writeAnswersToDrop.set(newSwitches.loseWriteAnswers());
        switches.set(newSwitches);
    }

    private void expireLeasesPeriodically()
    {
        try
        {
            while (true)
            {
                Thread.sleep(LEASE_CHECK_INTERVAL_MILLIS);
                store.expireLeases();
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpExchange exchange) throws InterruptedException
    {
        HttpRequest request = exchange.request();
        if (request.path().startsWith("/standin/"))
        {
            handleControl(exchange);
            return;
        }
        PlatformSwitches current = switches.get();
        if (current.delayMillis() > 0)
        {
            Thread.sleep(current.delayMillis());
        }
        boolean unavailable = request.path().startsWith("/v1/workers")
                ? current.rosterDown()
                : switches.get().down();
        if (unavailable)
        {
            exchange.abort();
            return;
        }
        serve(exchange);
    }

    private void handleControl(HttpExchange exchange) throws InterruptedException
    {
        HttpRequest request = exchange.request();
        switch (request.path())
        {
            case "/standin/switches" ->
                setSwitches(Json.read(request.body(), PlatformSwitches.class, ResultCode.BAD_REQUEST));
            case "/standin/workers" ->
                roster.put(Json.read(request.body(), RosterLine.class, ResultCode.BAD_REQUEST));
            case "/standin/calls" -> {
                exchange.respond(HttpReply.json(OK, callCounts));
                return;
            }
            default -> throw new GaugehollowException(ResultCode.UNKNOWN_PATH, "unknown control path");
        }
        exchange.respond(HttpReply.json(OK, Map.of()));
    }

    private void serve(HttpExchange exchange) throws InterruptedException
    {
        String path = exchange.request().path();
        callCounts.computeIfAbsent(path, p -> new AtomicInteger()).incrementAndGet();
        boolean write = path.startsWith("/v3/kv/txn") || path.startsWith("/v3/lease");
        (write ? writeBudget : readBudget).acquire();
        if ("/v1/workers".equals(path))
        {
            exchange.respond(HttpReply.json(OK, roster.groups()));
            return;
        }
        JsonNode body = Json.read(exchange.request().body(), JsonNode.class, ResultCode.BAD_REQUEST);
        switch (path)
        {
            case "/v3/kv/range" -> exchange.respond(HttpReply.json(OK, range(body)));
            case "/v3/kv/txn" -> transaction(exchange, body);
            case "/v3/lease/grant" -> {
                long seconds = body.path("TTL").asLong();
                exchange.respond(HttpReply.json(OK,
                        Map.of("ID", Long.toString(store.grant(seconds)), "TTL", Long.toString(seconds))));
            }
            case "/v3/lease/keepalive" -> exchange.respond(HttpReply.json(OK, Map.of("result", Map.of("ID",
                    body.path("ID").asText(), "TTL", Long.toString(store.renew(body.path("ID").asLong()))))));
            case "/v3/lease/revoke" -> {
                store.revoke(body.path("ID").asLong());
                exchange.respond(HttpReply.json(OK, Map.of()));
            }
            case "/v3/watch" -> watch(exchange, body.path("create_request"));
            default -> throw new GaugehollowException(ResultCode.UNKNOWN_PATH,
                    "path is not supported by the stand-in");
        }
    }

    private ObjectNode range(JsonNode body)
    {
        Optional<String> end = body.has("range_end")
                ? Optional.of(decodeText(body.path("range_end")))
                : Optional.empty();
        ObjectNode answer = Json.mapper().createObjectNode();
        ArrayNode kvs = answer.putArray("kvs");
        for (StoredValue value : store.range(decodeText(body.path("key")), end))
        {
            kvs.add(toKeyValue(value.key(), value.value(), value.modRevision()));
        }
        answer.putObject("header").put("revision", Long.toString(store.revision()));
        return answer;
    }

    private void transaction(HttpExchange exchange, JsonNode body) throws InterruptedException
    {
        Map<String, Long> required = new HashMap<>();
        for (JsonNode compare : body.path("compare"))
        {
            required.put(decodeText(compare.path("key")), compare.path("mod_revision").asLong());
        }
        List<StandinStore.Write> writes = new ArrayList<>();
        for (JsonNode operation : body.path("success"))
        {
            writes.add(parseWrite(operation));
        }
        boolean applied = store.commit(required, writes);
        if (writeAnswersToDrop.getAndUpdate(n -> Math.max(0, n - 1)) > 0)
        {
            exchange.abort();
            return;
        }
        ObjectNode answer = Json.mapper().createObjectNode().put("succeeded", applied);
        answer.putObject("header").put("revision", Long.toString(store.revision()));
        exchange.respond(HttpReply.json(OK, answer));
    }

    private static StandinStore.Write parseWrite(JsonNode operation)
    {
        if (operation.has("request_delete_range"))
        {
            return new StandinStore.Write(decodeText(operation.path("request_delete_range").path("key")),
                    null, 0);
        }
        JsonNode put = operation.path("request_put");
        byte[] value = Base64.getDecoder().decode(put.path("value").asText());
        if (value.length > MAX_VALUE_BYTES)
        {
            throw new GaugehollowException(ResultCode.BODY_TOO_LARGE, "value exceeds the limit of 1 MiB");
        }
        return new StandinStore.Write(decodeText(put.path("key")), value, put.path("lease").asLong());
    }

    private void watch(HttpExchange exchange, JsonNode request) throws InterruptedException
    {
        String from = decodeText(request.path("key"));
        String end = decodeText(request.path("range_end"));
        long nextRevision = request.path("start_revision").asLong();
        exchange.startLines();
        while (exchange.isOpen())
        {
            if (switches.get().down())
            {
                exchange.abort();
                return;
            }
            Optional<List<StoreChange>> changes = store.await(from, end, nextRevision, WATCH_WAIT_MILLIS);
            if (changes.isEmpty())
            {
                exchange.writeLine(
                        Json.write(Map.of("result", Map.of("canceled", true, "compact_revision", "1"))));
                exchange.endLines();
                return;
            }
            if (!changes.get().isEmpty())
            {
                exchange.writeLine(Json.write(Map.of("result", Map.of("events", toEvents(changes.get())))));
                nextRevision = changes.get().getLast().revision() + 1;
            }
        }
    }

    private static List<ObjectNode> toEvents(List<StoreChange> changes)
    {
        List<ObjectNode> events = new ArrayList<>();
        for (StoreChange change : changes)
        {
            ObjectNode event = Json.mapper().createObjectNode();
            if (change.deleted())
            {
                event.put("type", "DELETE");
            }
            event.set("kv", toKeyValue(change.key(), change.value(), change.revision()));
            events.add(event);
        }
        return events;
    }

    private static ObjectNode toKeyValue(String key, byte[] value, long modRevision)
    {
        return Json.mapper().createObjectNode()
                .put("key", Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8)))
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("mod_revision", Long.toString(modRevision));
    }

    private static String decodeText(JsonNode base64)
    {
        return new String(Base64.getDecoder().decode(base64.asText()), StandardCharsets.UTF_8);
    }

    @Override
    public void close()
    {
        leaseExpirer.interrupt();
        server.close();
    }
}
