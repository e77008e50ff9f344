/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpClient;
import org.gaugehollow.net.HttpConnection;
import org.gaugehollow.net.HttpConnectionPool;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpRequest;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.time.SteadyClock;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends requests to one upstream. Each connection carries one request at a time and is closed
 * unless the complete answer arrived in time with the right task id. Thread-safe.
 */
public final class UpstreamClient implements AutoCloseable
{
    /** Maximum size of an answer in bytes. */
    public static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int MAX_IDLE_CONNECTIONS = 60;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int CONTROL_TIMEOUT_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final String worker;
    private final EventLog events;
    private final HttpClient control;
    private final HttpConnectionPool connections;

    /**
     * Creates a client; connections are opened on demand.
     *
     * @param loops the event loops
     * @param worker the id of the upstream
     * @param target the address of the upstream
     * @param events the log of dropped answers
     */
    public UpstreamClient(NetLoops loops, String worker, InetSocketAddress target, EventLog events)
    {
        this.worker = worker;
        this.events = events;
        this.control = new HttpClient(loops, target);
        this.connections = new HttpConnectionPool(loops, target, MAX_IDLE_CONNECTIONS);
    }

    /** @return the address of the upstream */
    public InetSocketAddress target()
    {
        return connections.target();
    }

    /**
     * Runs a request and waits for its complete answer.
     *
     * @param request the request
     * @param epoch the fencing token
     * @param deadlineNanos the deadline, on {@link SteadyClock#nanos}
     * @param maySend whether the request may be sent; called immediately before the request is written,
     *            must not block
     * @return the answer of the upstream
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException if the request failed; the outcome of its code says whether the
     *             request may have run; {@code NO_RIGHTS} if it may not be sent
     */
    public HttpReply run(UpstreamRequest request, long epoch, long deadlineNanos, BooleanSupplier maySend)
            throws InterruptedException
    {
        HttpConnection connection = connections.acquire(connectTimeoutMillis(deadlineNanos));
        boolean reusable = false;
        try
        {
            HttpReply reply = connection.exchangeIf(maySend, toMessage(request, epoch), deadlineNanos,
                    MAX_ANSWER_BYTES);
            if (isDuplicateAnswer(connection, request, reply))
            {
                reply = connection.awaitResponse(deadlineNanos, MAX_ANSWER_BYTES);
            }
            reusable = checkTaskId(request, reply);
            connection.setLastExchangeId(request.task());
            checkNotRejected(reply);
            return reply;
        }
        finally
        {
            connections.release(connection, reusable);
        }
    }

    /**
     * Claims the upstream for a new owner. An upstream with fencing rejects older owners afterwards.
     *
     * @param claim the new owner and its epoch
     * @return the running tasks and the state of the upstream
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException if the upstream does not answer, or {@code FENCED} if it has a newer
     *             owner
     */
    public UpstreamReport claim(UpstreamClaim claim) throws InterruptedException
    {
        HttpReply reply = control.call("POST", "/gaugehollow/claim", Json.write(claim),
                CONTROL_TIMEOUT_MILLIS);
        if (reply.status() == CONFLICT)
        {
            throw new GaugehollowException(ResultCode.FENCED, worker + " has a newer owner");
        }
        return parseReport(reply);
    }

    /**
     * Requests the running tasks and the state of the upstream.
     *
     * @return the report of the upstream
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException if the upstream does not answer
     */
    public UpstreamReport report() throws InterruptedException
    {
        return parseReport(control.call("GET", "/gaugehollow/tasks", new byte[0], CONTROL_TIMEOUT_MILLIS));
    }

    private UpstreamReport parseReport(HttpReply reply)
    {
        if (reply.status() != OK)
        {
            throw new GaugehollowException(ResultCode.UPSTREAM_REFUSED,
                    worker + " responded with status " + reply.status());
        }
        return Json.read(reply.body(), UpstreamReport.class, ResultCode.UPSTREAM_REFUSED);
    }

    private static HttpRequest toMessage(UpstreamRequest request, long epoch)
    {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(UpstreamHeaders.TASK, request.task());
        headers.set(UpstreamHeaders.EPOCH, epoch);
        headers.set(UpstreamHeaders.TEAM, request.team());
        headers.set(UpstreamHeaders.NEEDS, formatNeeds(request.needs()));
        headers.set(HttpHeaderNames.CONTENT_TYPE, request.contentType());
        if (!request.key().isEmpty())
        {
            headers.set(UpstreamHeaders.KEY, request.key());
        }
        return new HttpRequest("POST", request.path(), "", headers, request.body());
    }

    private static String formatNeeds(ComputeResources needs)
    {
        return "slots=" + needs.slots() + ";cpuMillis=" + needs.cpuMillis() + ";memoryMib="
                + needs.memoryMib() + ";accelerators=" + needs.accelerators();
    }

    /**
     * Returns whether the upstream sent the answer to the previous request again; the right answer may
     * follow.
     */
    private boolean isDuplicateAnswer(HttpConnection connection, UpstreamRequest request, HttpReply reply)
    {
        String answeredTask = reply.headers().get(UpstreamHeaders.TASK);
        boolean duplicate = answeredTask != null && answeredTask.equals(connection.lastExchangeId())
                && !answeredTask.equals(request.task());
        if (duplicate)
        {
            events.record(EventType.LATE_ANSWER_DROPPED, request.task(),
                    "duplicate answer to task " + answeredTask);
        }
        return duplicate;
    }

    /**
     * Returns whether the connection may be reused, which is the case if the answer names its task.
     *
     * @throws GaugehollowException if the answer names another task
     */
    private boolean checkTaskId(UpstreamRequest request, HttpReply reply)
    {
        String answeredTask = reply.headers().get(UpstreamHeaders.TASK);
        if (answeredTask != null && !answeredTask.equals(request.task()))
        {
            events.record(EventType.LATE_ANSWER_DROPPED, request.task(),
                    "received the answer to task " + answeredTask);
            throw new GaugehollowException(ResultCode.OUTCOME_UNKNOWN,
                    "received the answer to another request");
        }
        return answeredTask != null;
    }

    private void checkNotRejected(HttpReply reply)
    {
        String reason = reply.headers().get(UpstreamHeaders.NOT_RUN);
        if (reason != null && reply.status() != OK)
        {
            ResultCode code = "fenced".equals(reason) ? ResultCode.FENCED : ResultCode.UPSTREAM_REFUSED;
            throw new GaugehollowException(code, worker + " did not run the request: " + reason);
        }
    }

    private static int connectTimeoutMillis(long deadlineNanos)
    {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - SteadyClock.nanos());
        return (int) Math.clamp(remainingMillis, 1, CONNECT_TIMEOUT_MILLIS);
    }

    @Override
    public void close()
    {
        connections.close();
        control.close();
    }
}
