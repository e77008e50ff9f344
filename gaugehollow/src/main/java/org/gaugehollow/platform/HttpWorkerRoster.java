/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.Worker;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetAddress;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the worker list in the format of Prometheus HTTP service discovery: an array of groups,
 * each with {@code targets} and {@code labels}. The labels hold the worker's id, data hall, rack,
 * capacity and state.
 */
public final class HttpWorkerRoster implements WorkerRoster
{
    private static final int OK = 200;

    private final HttpCaller caller;
    private final String path;
    private final int timeoutMillis;

    /**
     * @param caller the HTTP client of the list
     * @param path the path of the list
     * @param timeoutMillis timeout of one read, in milliseconds
     */
    public HttpWorkerRoster(HttpCaller caller, String path, int timeoutMillis)
    {
        this.caller = caller;
        this.path = path;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public List<Worker> read() throws InterruptedException
    {
        HttpReply reply;
        try
        {
            reply = caller.call("GET", path, new byte[0], timeoutMillis);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, e.getMessage(), e);
        }
        if (reply.status() != OK)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE,
                    "the worker list responded with status " + reply.status());
        }
        return parse(reply.body());
    }

    /**
     * @param body the response body
     * @return the listed workers
     * @throws GaugehollowException with {@code STORE_BAD_ANSWER} if the body is not a valid list
     */
    public static List<Worker> parse(byte[] body)
    {
        JsonNode groups = Json.read(body, JsonNode.class, ResultCode.STORE_BAD_ANSWER);
        if (!groups.isArray())
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "the worker list is not a JSON array");
        }
        List<Worker> workers = new ArrayList<>();
        for (JsonNode group : groups)
        {
            for (JsonNode target : group.path("targets"))
            {
                workers.add(parseWorker(target.asText(), group.path("labels")));
            }
        }
        return workers;
    }

    private static Worker parseWorker(String address, JsonNode labels)
    {
        try
        {
            NetAddress.parse(address);
            ComputeResources capacity = new ComputeResources(intLabel(labels, "slots"),
                    intLabel(labels, "cpu_millis"), intLabel(labels, "memory_mib"),
                    intLabel(labels, "accelerators"));
            return new Worker(textLabel(labels, "worker"), address, textLabel(labels, "hall"),
                    textLabel(labels, "rack"), capacity, "leaving".equals(textLabel(labels, "state")));
        }
        catch (GaugehollowException | NumberFormatException e)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "invalid entry in the worker list: " + e.getMessage(), e);
        }
    }

    private static int intLabel(JsonNode labels, String name)
    {
        return Integer.parseInt(textLabel(labels, name));
    }

    private static String textLabel(JsonNode labels, String name)
    {
        JsonNode value = labels.path(name);
        if (!value.isTextual())
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "label \"" + name + "\" is missing or not a string");
        }
        return value.asText();
    }
}
