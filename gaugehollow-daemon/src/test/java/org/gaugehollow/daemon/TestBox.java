/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.charset.StandardCharsets;

import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;

import com.fasterxml.jackson.databind.JsonNode;

/** An entry box of a test's cell: its process and its ports. */
final class TestBox
{
    private static final int TIMEOUT_MILLIS = 5_000;

    final String name;
    final String hall;
    final String ip;
    final String callers;
    final String operators;
    final TestProcess process;
    private final NetLoops loops;

    TestBox(String name, String hall, String ip, String callers, String operators, TestProcess process,
            NetLoops loops)
    {
        this.name = name;
        this.hall = hall;
        this.ip = ip;
        this.callers = callers;
        this.operators = operators;
        this.process = process;
        this.loops = loops;
    }

    String id()
    {
        return process.readyWord();
    }

    HttpReply operator(String method, String path, byte[] body) throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(operators)))
        {
            return caller.call(method, path, body, TIMEOUT_MILLIS);
        }
    }

    JsonNode status() throws InterruptedException
    {
        return json("/v1/status");
    }

    JsonNode json(String path) throws InterruptedException
    {
        return Json.read(operator("GET", path, new byte[0]).body(), JsonNode.class, ResultCode.INTERNAL);
    }

    /** The value of a metric without labels, or the sum over all its labels. */
    double metric(String metric) throws InterruptedException
    {
        String text = new String(operator("GET", "/metrics", new byte[0]).body(), StandardCharsets.UTF_8);
        return text.lines().filter(line -> line.startsWith(metric + ' ') || line.startsWith(metric + '{'))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1))).sum();
    }
}
