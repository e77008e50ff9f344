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
 * The list in the published form of Prometheus' HTTP service discovery: an array of groups, each
 * with {@code targets} and {@code labels}. The labels name worker, hall, rack, amounts and state.
 */
public final class HttpWorkerRoster implements WorkerRoster
{
    private static final int OK = 200;

    private final HttpCaller caller;
    private final String path;
    private final int timeoutMillis;

    /**
     * @param caller reaches the list
     * @param path its path
     * @param timeoutMillis how long one read may take
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
                    "the list answered " + reply.status());
        }
        return parse(reply.body());
    }

    /**
     * @param body the list's bytes
     * @return its workers
     * @throws GaugehollowException with {@code STORE_BAD_ANSWER} if it is not such a list
     */
    public static List<Worker> parse(byte[] body)
    {
        JsonNode groups = Json.read(body, JsonNode.class, ResultCode.STORE_BAD_ANSWER);
        if (!groups.isArray())
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER, "the list is not an array");
        }
        List<Worker> workers = new ArrayList<>();
        for (JsonNode group : groups)
        {
            for (JsonNode target : group.path("targets"))
            {
                workers.add(workerOf(target.asText(), group.path("labels")));
            }
        }
        return workers;
    }

    private static Worker workerOf(String address, JsonNode labels)
    {
        try
        {
            NetAddress.parse(address);
            ComputeResources capacity = new ComputeResources(number(labels, "slots"),
                    number(labels, "cpu_millis"), number(labels, "memory_mib"),
                    number(labels, "accelerators"));
            return new Worker(text(labels, "worker"), address, text(labels, "hall"), text(labels, "rack"),
                    capacity, "leaving".equals(text(labels, "state")));
        }
        catch (GaugehollowException | NumberFormatException e)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "a worker of the list: " + e.getMessage(), e);
        }
    }

    private static int number(JsonNode labels, String name)
    {
        return Integer.parseInt(text(labels, name));
    }

    private static String text(JsonNode labels, String name)
    {
        JsonNode value = labels.path(name);
        if (!value.isTextual())
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER, "label " + name + " is missing");
        }
        return value.asText();
    }
}
