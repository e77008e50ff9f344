/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpConnection;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.time.SteadyClock;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** A store client for the JSON gateway of the etcd v3 API. */
public final class EtcdStore implements PlatformStore
{
    private static final int OK = 200;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final HttpCaller caller;
    private final StoreBudget budget;
    private final Metrics metrics;
    private final int timeoutMillis;

    /**
     * @param caller the HTTP client of the store
     * @param budget limits the call rate of this box
     * @param metrics counts the calls
     * @param timeoutMillis timeout of one call, in milliseconds
     */
    public EtcdStore(HttpCaller caller, StoreBudget budget, Metrics metrics, int timeoutMillis)
    {
        this.caller = caller;
        this.budget = budget;
        this.metrics = metrics;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public Optional<StoredValue> get(String key) throws InterruptedException
    {
        JsonNode response = call("read", "/v3/kv/range", newObject().put("key", encode(key)));
        List<StoredValue> values = valuesOf(response);
        return values.isEmpty() ? Optional.empty() : Optional.of(values.getFirst());
    }

    @Override
    public StoreListing list(String prefix) throws InterruptedException
    {
        ObjectNode request = newObject().put("key", encode(prefix)).put("range_end",
                encode(rangeEnd(prefix)));
        JsonNode response = call("read", "/v3/kv/range", request);
        return new StoreListing(response.path("header").path("revision").asLong(), valuesOf(response));
    }

    @Override
    public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
    {
        ObjectNode request = newObject();
        ArrayNode compare = request.putArray("compare");
        for (StoreTransaction.Condition condition : transaction.conditions())
        {
            compare.addObject().put("key", encode(condition.key())).put("target", "MOD")
                    .put("result", "EQUAL").put("mod_revision", Long.toString(condition.modRevision()));
        }
        ArrayNode success = request.putArray("success");
        for (StoreTransaction.Write write : transaction.writes())
        {
            addWrite(success.addObject(), write);
        }
        JsonNode response = call("write", "/v3/kv/txn", request);
        boolean applied = response.path("succeeded").asBoolean(false);
        return applied ? Optional.of(response.path("header").path("revision").asLong()) : Optional.empty();
    }

    private static void addWrite(ObjectNode operation, StoreTransaction.Write write)
    {
        if (write.value() == null)
        {
            operation.putObject("request_delete_range").put("key", encode(write.key()));
            return;
        }
        ObjectNode put = operation.putObject("request_put").put("key", encode(write.key())).put("value",
                Base64.getEncoder().encodeToString(write.value()));
        if (write.lease() != 0)
        {
            put.put("lease", Long.toString(write.lease()));
        }
    }

    @Override
    public long grantLease(int millis) throws InterruptedException
    {
        int seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        JsonNode response = call("lease", "/v3/lease/grant",
                newObject().put("TTL", Integer.toString(seconds)));
        long id = response.path("ID").asLong();
        if (id == 0)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "the store granted a lease without an id");
        }
        return id;
    }

    @Override
    public boolean renewLease(long lease) throws InterruptedException
    {
        JsonNode response = call("lease", "/v3/lease/keepalive", newObject().put("ID", Long.toString(lease)));
        return response.path("result").path("TTL").asLong() > 0;
    }

    @Override
    public void revokeLease(long lease) throws InterruptedException
    {
        call("lease", "/v3/lease/revoke", newObject().put("ID", Long.toString(lease)));
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision) throws InterruptedException
    {
        budget.acquire();
        ObjectNode request = newObject();
        request.putObject("create_request").put("key", encode(prefix))
                .put("range_end", encode(rangeEnd(prefix)))
                .put("start_revision", Long.toString(fromRevision));
        HttpConnection connection = openConnection();
        HttpMessage message = new HttpMessage("POST", "/v3/watch", "", new DefaultHttpHeaders(),
                Json.write(request));
        HttpReply head = connection.openStream(message, deadline());
        metrics.storeCalls().labelValues("watch", head.status() == OK ? "ok" : "refused").inc();
        if (head.status() != OK)
        {
            connection.close();
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE,
                    "the store rejected the watch with status " + head.status());
        }
        return new EtcdWatch(connection);
    }

    private HttpConnection openConnection() throws InterruptedException
    {
        try
        {
            return caller.openOwn(timeoutMillis);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, e.getMessage(), e);
        }
    }

    private JsonNode call(String kind, String path, ObjectNode request) throws InterruptedException
    {
        budget.acquire();
        HttpReply reply;
        try
        {
            reply = caller.call("POST", path, Json.write(request), timeoutMillis);
        }
        catch (GaugehollowException e)
        {
            metrics.storeCalls().labelValues(kind, "failed").inc();
            throw new GaugehollowException(codeOfFailure(kind, e.code()), e.getMessage(), e);
        }
        metrics.storeCalls().labelValues(kind, reply.status() == OK ? "ok" : "refused").inc();
        if (reply.status() != OK)
        {
            throw new GaugehollowException(codeOfStatus(reply.status()),
                    "the store responded with status " + reply.status());
        }
        return Json.read(reply.body(), JsonNode.class, ResultCode.STORE_BAD_ANSWER);
    }

    /** Maps a failed call to a result code. A write that was sent may have been applied. */
    private static ResultCode codeOfFailure(String kind, ResultCode cause)
    {
        boolean notSent = cause == ResultCode.UPSTREAM_REFUSED;
        return notSent || "read".equals(kind)
                ? ResultCode.STORE_UNAVAILABLE
                : ResultCode.STORE_OUTCOME_UNKNOWN;
    }

    private static ResultCode codeOfStatus(int status)
    {
        int tooManyRequests = ResultCode.QUOTA_EXCEEDED.httpStatus();
        return status == tooManyRequests ? ResultCode.STORE_UNAVAILABLE : ResultCode.STORE_OUTCOME_UNKNOWN;
    }

    private long deadline()
    {
        return SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    private static List<StoredValue> valuesOf(JsonNode response)
    {
        List<StoredValue> values = new ArrayList<>();
        for (JsonNode kv : response.path("kvs"))
        {
            values.add(new StoredValue(decodeText(kv.path("key").asText()), decode(kv.path("value").asText()),
                    kv.path("mod_revision").asLong()));
        }
        return values;
    }

    private static ObjectNode newObject()
    {
        return Json.mapper().createObjectNode();
    }

    private static String encode(String text)
    {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] decode(String base64)
    {
        return Base64.getDecoder().decode(base64);
    }

    static String decodeText(String base64)
    {
        return new String(decode(base64), StandardCharsets.UTF_8);
    }

    /** Returns the exclusive end of a prefix range; the prefix must end in an ASCII character. */
    private static String rangeEnd(String prefix)
    {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    @Override
    public void close()
    {
        caller.close();
    }
}
