/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.config.ActiveConfig;
import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.ResourceStore;
import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.model.Checks;
import org.gaugehollow.model.ComparisonSpec;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.Envelope;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.model.ResourceKind;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TeamSpec;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpRequest;
import org.gaugehollow.placement.PolicyRegistry;

import com.fasterxml.jackson.databind.JsonNode;

import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * Lists, reads, creates, updates, deletes and watches configuration resources. Updates and
 * deletions name the expected revision.
 */
final class ResourceApi
{
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ConfigCache config;
    private final ResourceStore store;
    private final PolicyRegistry policies;

    ResourceApi(ConfigCache config, ResourceStore store, PolicyRegistry policies)
    {
        this.config = config;
        this.store = store;
        this.policies = policies;
    }

    /** Handles {@code /v1/KIND}: lists or watches the resources of a kind. */
    void handleKind(HttpExchange exchange, ResourceKind kind) throws InterruptedException
    {
        HttpRequest request = exchange.request();
        requireMethod(request, "GET");
        if (request.parameter("watch").filter("true"::equals).isPresent())
        {
            watch(exchange, kind);
            return;
        }
        long revision = config.revision();
        List<ResourceView> items = new ArrayList<>();
        config.list(kind.plural() + '/').forEach(entry -> items.add(toView(entry)));
        exchange.respond(HttpReply.json(OK, Map.of("revision", revision, "items", items)));
    }

    /** Handles {@code /v1/KIND/NAME}: reads, writes or deletes a resource. */
    void handleResource(HttpExchange exchange, ResourceKind kind, String name) throws InterruptedException
    {
        HttpRequest request = exchange.request();
        Checks.name(name, "name");
        switch (request.method())
        {
            case "GET" -> exchange.respond(replyWithETag(OK, requireExisting(kind, name)));
            case "PUT" -> exchange.respond(put(request, kind, name));
            case "DELETE" -> {
                ConfigEntry removed = store.delete(StoreKeys.resource(kind, requireUnused(kind, name)),
                        requiredRevision(request));
                config.applyLocal(removed);
                exchange.respond(HttpReply.json(OK, Map.of("kind", kind.plural(), "name", name,
                        "deletedAtRevision", removed.revision())));
            }
            default -> throw new GaugehollowException(ResultCode.UNKNOWN_PATH, "expected GET, PUT or DELETE");
        }
    }

    private HttpReply put(HttpRequest request, ResourceKind kind, String name) throws InterruptedException
    {
        Object spec = ActiveConfig.parseSpec(kind, request.body());
        checkSpec(kind, name, spec);
        Optional<Long> expected = parseRevision(request);
        String key = StoreKeys.resource(kind, name);
        if (expected.isEmpty() && config.get(key).isPresent())
        {
            throw new GaugehollowException(ResultCode.REVISION_REQUIRED, "the resource exists at revision "
                    + config.get(key).get().revision() + "; If-Match with this revision is required");
        }
        JsonNode content = Json.read(request.body(), JsonNode.class, ResultCode.RESOURCE_INVALID);
        ConfigEntry written = store.put(key, expected, content);
        config.applyLocal(written);
        return replyWithETag(expected.isPresent() ? OK : CREATED, written);
    }

    private void checkSpec(ResourceKind kind, String name, Object spec)
    {
        switch (spec)
        {
            case PolicySpec policy -> policies.create(policy);
            case ComparisonSpec comparison -> {
                requireExisting(ResourceKind.POLICY, comparison.first());
                requireExisting(ResourceKind.POLICY, comparison.second());
            }
            case TeamSpec team -> checkHomeHallUnchanged(kind, name, team);
            default -> {
                // the constructor validates the other kinds
            }
        }
    }

    /**
     * Rejects a change of the home hall. Key records are kept in the home hall, so the same key could
     * run in both halls after a change.
     */
    private void checkHomeHallUnchanged(ResourceKind kind, String name, TeamSpec next)
    {
        Optional<ConfigEntry> current = config.get(StoreKeys.resource(kind, name));
        if (current.isEmpty())
        {
            return;
        }
        JsonNode currentHall = parseEnvelope(current.get()).spec().path("homeHall");
        if (!currentHall.asText().equals(next.homeHall()))
        {
            throw new GaugehollowException(ResultCode.FIELD_IMMUTABLE,
                    "homeHall cannot be changed from " + currentHall.asText());
        }
    }

    private String requireUnused(ResourceKind kind, String name)
    {
        if (kind != ResourceKind.POLICY)
        {
            return name;
        }
        for (ConfigEntry entry : config.list(ResourceKind.COMPARISON.plural() + '/'))
        {
            JsonNode spec = parseEnvelope(entry).spec();
            if (name.equals(spec.path("first").asText()) || name.equals(spec.path("second").asText()))
            {
                throw new GaugehollowException(ResultCode.RESOURCE_IN_USE,
                        entry.name() + " uses this policy");
            }
        }
        return name;
    }

    private void watch(HttpExchange exchange, ResourceKind kind) throws InterruptedException
    {
        long lastRevision = exchange.request().parameter("from").map(ResourceApi::parseNumber)
                .orElseGet(config::revision);
        exchange.startLines();
        while (exchange.isOpen())
        {
            Optional<List<ConfigEntry>> changes = config.awaitChangesAfter(lastRevision,
                    HEARTBEAT_INTERVAL_NANOS);
            if (changes.isEmpty())
            {
                String message = "revision " + lastRevision
                        + " is no longer retained; list the resources and watch from their revision";
                exchange.writeLine(Json.write(new WatchLine("ERROR", lastRevision, null, message)));
                exchange.endLines();
                return;
            }
            for (ConfigEntry change : changes.get())
            {
                lastRevision = change.revision();
                if (change.name().startsWith(kind.plural() + '/'))
                {
                    exchange.writeLine(Json.write(toWatchLine(change)));
                }
            }
            if (changes.get().isEmpty())
            {
                exchange.writeLine(Json.write(new WatchLine("HEARTBEAT", lastRevision, null, null)));
            }
        }
    }

    private static WatchLine toWatchLine(ConfigEntry change)
    {
        if (!change.deleted())
        {
            return new WatchLine("PUT", change.revision(), toView(change), null);
        }
        int slash = change.name().indexOf('/');
        ResourceView deleted = new ResourceView(change.name().substring(0, slash),
                change.name().substring(slash + 1), change.revision(), null, null);
        return new WatchLine("DELETE", change.revision(), deleted, null);
    }

    private ConfigEntry requireExisting(ResourceKind kind, String name)
    {
        return config.get(StoreKeys.resource(kind, name))
                .orElseThrow(() -> new GaugehollowException(ResultCode.RESOURCE_NOT_FOUND,
                        kind.plural() + '/' + name + " does not exist"));
    }

    private static HttpReply replyWithETag(int status, ConfigEntry entry)
    {
        HttpReply reply = HttpReply.json(status, toView(entry));
        reply.headers().set(HttpHeaderNames.ETAG, "\"" + entry.revision() + '"');
        return reply;
    }

    private static ResourceView toView(ConfigEntry entry)
    {
        int slash = entry.name().indexOf('/');
        Envelope envelope = parseEnvelope(entry);
        return new ResourceView(entry.name().substring(0, slash), entry.name().substring(slash + 1),
                entry.revision(), envelope.writeId(), envelope.spec());
    }

    private static Envelope parseEnvelope(ConfigEntry entry)
    {
        return Json.read(entry.envelope(), Envelope.class, ResultCode.STORE_BAD_ANSWER);
    }

    private static Optional<Long> parseRevision(HttpRequest request)
    {
        return request.header(HttpHeaderNames.IF_MATCH.toString())
                .map(tag -> parseNumber(tag.replace("\"", "").trim()));
    }

    private static long requiredRevision(HttpRequest request)
    {
        return parseRevision(request).orElseThrow(() -> new GaugehollowException(ResultCode.REVISION_REQUIRED,
                "If-Match with the revision of the resource is required"));
    }

    static long parseNumber(String text)
    {
        try
        {
            return Long.parseLong(text);
        }
        catch (NumberFormatException e)
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST, "expected an integer as revision", e);
        }
    }

    static void requireMethod(HttpRequest request, String method)
    {
        if (!method.equals(request.method()))
        {
            throw new GaugehollowException(ResultCode.UNKNOWN_PATH, "expected " + method);
        }
    }
}
