/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.upstream.UpstreamHeaders;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Sends one request as a caller and prints the complete answer. */
@Parameters(commandDescription = "send one request as a caller")
final class SubmitCommand implements Command
{
    static final String DEFAULT_CALLER_ADDRESS = "127.0.0.1:7710";
    private static final int TIMEOUT_GRACE_MILLIS = 1_000;

    @Parameter(description = "WORKLOAD", required = true)
    private String workload;

    @Parameter(names = "--team", description = "team of the caller")
    private String team = "demo";

    @Parameter(names = "--key", description = "idempotency key, for workloads that are not repeatable")
    private String key;

    @Parameter(names = "--body", description = "request body")
    private String body = "{}";

    @Parameter(names = "--timeout-millis", description = "timeout in milliseconds")
    private int timeoutMillis = 5_000;

    @Parameter(names = "--server", description = "caller address of a box")
    private String server = DEFAULT_CALLER_ADDRESS;

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    @Override
    public String name()
    {
        return "submit";
    }

    @Override
    public String examples()
    {
        return "gaugehollow submit lookup --body '{\"millis\":20,\"echo\":\"hello\"}'\n"
                + "gaugehollow submit goal --key match-7-goal-2 --team demo";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpReply.JSON_TYPE)
                .set(UpstreamHeaders.TEAM, team).set(UpstreamHeaders.TIMEOUT, timeoutMillis);
        if (key != null)
        {
            headers.set(UpstreamHeaders.KEY, key);
        }
        HttpMessage request = new HttpMessage("POST", "/v1/workloads/" + workload + "/requests", "", headers,
                body.getBytes(StandardCharsets.UTF_8));
        try (NetLoops loops = new NetLoops(Optional.empty());
                HttpCaller caller = new HttpCaller(loops, NetAddress.parse(server)))
        {
            return printReply(console, send(caller, request));
        }
    }

    private HttpReply send(HttpCaller caller, HttpMessage request) throws InterruptedException
    {
        try
        {
            return caller.call(request, timeoutMillis + TIMEOUT_GRACE_MILLIS);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.PEER_UNREACHABLE, e.getMessage(), e);
        }
    }

    private ExitCode printReply(Console console, HttpReply reply)
    {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("status", Integer.toString(reply.status()));
        for (String header : new String[]{UpstreamHeaders.OUTCOME, UpstreamHeaders.CODE, UpstreamHeaders.TASK,
                UpstreamHeaders.BOX, UpstreamHeaders.UPSTREAM, "Retry-After"})
        {
            Optional.ofNullable(reply.headers().get(header)).ifPresent(value -> fields.put(header, value));
        }
        String text = new String(reply.body(), StandardCharsets.UTF_8);
        if (output.isJson())
        {
            fields.put("body", text);
            console.printJson(fields);
        }
        else
        {
            fields.forEach((name, value) -> console.printLine(name + ": " + value));
            console.printLine(text);
        }
        return "answered".equals(reply.headers().get(UpstreamHeaders.OUTCOME))
                ? ExitCode.OK
                : ExitCode.REFUSED;
    }
}
