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

/** Entry box of a test cell: its process and its addresses. */
final class TestBox
{
    private static final int TIMEOUT_MILLIS = 5_000;

    final String name;
    final String hall;
    final String ip;
    final String callerAddress;
    final String operatorAddress;
    final TestProcess process;
    private final NetLoops loops;

    TestBox(String name, String hall, String ip, String callerAddress, String operatorAddress,
            TestProcess process, NetLoops loops)
    {
        this.name = name;
        this.hall = hall;
        this.ip = ip;
        this.callerAddress = callerAddress;
        this.operatorAddress = operatorAddress;
        this.process = process;
        this.loops = loops;
    }

    String id()
    {
        return process.readyValue();
    }

    HttpReply callOperator(String method, String path, byte[] body) throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(operatorAddress)))
        {
            return caller.call(method, path, body, TIMEOUT_MILLIS);
        }
    }

    JsonNode status() throws InterruptedException
    {
        return getJson("/v1/status");
    }

    JsonNode getJson(String path) throws InterruptedException
    {
        return Json.read(callOperator("GET", path, new byte[0]).body(), JsonNode.class, ResultCode.INTERNAL);
    }

    /** Returns the value of a metric, summed over all its labels. */
    double metric(String metric) throws InterruptedException
    {
        String text = new String(callOperator("GET", "/metrics", new byte[0]).body(), StandardCharsets.UTF_8);
        return text.lines().filter(line -> line.startsWith(metric + ' ') || line.startsWith(metric + '{'))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1))).sum();
    }
}
