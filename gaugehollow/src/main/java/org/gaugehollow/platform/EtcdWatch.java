/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpConnection;
import org.gaugehollow.time.SteadyClock;

import com.fasterxml.jackson.databind.JsonNode;

/** Parses the streamed response of an etcd watch, one JSON object per line. */
final class EtcdWatch implements StoreWatch
{
    private final HttpConnection connection;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    EtcdWatch(HttpConnection connection)
    {
        this.connection = connection;
    }

    @Override
    public List<StoreChange> poll(int timeoutMillis) throws InterruptedException
    {
        byte[] chunk;
        try
        {
            chunk = connection.readChunk(SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                    true);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE,
                    "the watch was lost: " + e.getMessage(), e);
        }
        if (chunk == null)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "the store closed the watch");
        }
        List<StoreChange> changes = new ArrayList<>();
        for (byte b : chunk)
        {
            if (b == '\n')
            {
                readLine(partialLine.toByteArray(), changes);
                partialLine.reset();
            }
            else
            {
                partialLine.write(b);
            }
        }
        return changes;
    }

    private static void readLine(byte[] line, List<StoreChange> changes)
    {
        if (line.length == 0)
        {
            return;
        }
        JsonNode result = Json.read(line, JsonNode.class, ResultCode.STORE_BAD_ANSWER).path("result");
        if (result.path("canceled").asBoolean(false))
        {
            boolean tooOld = result.path("compact_revision").asLong() > 0;
            throw new GaugehollowException(tooOld ? ResultCode.WATCH_TOO_OLD : ResultCode.STORE_UNAVAILABLE,
                    "the store cancelled the watch");
        }
        for (JsonNode event : result.path("events"))
        {
            JsonNode kv = event.path("kv");
            boolean deleted = "DELETE".equals(event.path("type").asText());
            changes.add(new StoreChange(EtcdStore.decodeText(kv.path("key").asText()),
                    EtcdStore.decode(kv.path("value").asText("")), kv.path("mod_revision").asLong(),
                    deleted));
        }
    }

    @Override
    public void close()
    {
        connection.close();
    }
}
