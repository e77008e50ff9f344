/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.config.ActiveConfig;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.WorkloadSpec;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpHandler;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpRequest;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.upstream.UpstreamHeaders;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** HTTP API for callers: {@code POST /v1/workloads/NAME/requests}, answered synchronously. */
final class CallerApi implements HttpHandler
{
    private static final String PREFIX = "/v1/workloads/";
    private static final String SUFFIX = "/requests";
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";
    private static final int MAX_KEY_LENGTH = 200;
    private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
    private static final int TASK_NUMBER_RADIX = 36;

    private final String box;
    private final RequestRouter router;
    private final AtomicReference<ActiveConfig> config;
    private final Metrics metrics;
    private final EventLog events;
    private final AtomicLong lastTaskNumber = new AtomicLong();

    CallerApi(String box, RequestRouter router, AtomicReference<ActiveConfig> config, Metrics metrics,
            EventLog events)
    {
        this.box = box;
        this.router = router;
        this.config = config;
        this.metrics = metrics;
        this.events = events;
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException
    {
        HttpRequest httpRequest = exchange.request();
        String workload = parseWorkload(httpRequest);
        CallerRequest request = parseRequest(httpRequest, workload);
        Answer answer = router.route(request);
        String taskClass = findSpec(workload) == null ? "none" : findSpec(workload).taskClass().label();
        metrics.results().labelValues(taskClass, Integer.toString(answer.getCode())).inc();
        events.record(EventType.TASK_ENDED, request.task(), Answers.codeOf(answer).name());
        exchange.respond(toReply(answer, request));
    }

    private static String parseWorkload(HttpRequest httpRequest)
    {
        String path = httpRequest.path();
        boolean matches = path.startsWith(PREFIX) && path.endsWith(SUFFIX)
                && path.length() > PREFIX.length() + SUFFIX.length();
        if (!matches || !"POST".equals(httpRequest.method()))
        {
            throw new GaugehollowException(ResultCode.UNKNOWN_PATH,
                    "expected POST /v1/workloads/NAME/requests");
        }
        return path.substring(PREFIX.length(), path.length() - SUFFIX.length());
    }

    private CallerRequest parseRequest(HttpRequest httpRequest, String workload)
    {
        String team = httpRequest.header(UpstreamHeaders.TEAM)
                .orElseThrow(() -> new GaugehollowException(ResultCode.BAD_REQUEST,
                        "header Gaugehollow-Team is required"));
        String key = httpRequest.header(UpstreamHeaders.KEY).orElse("");
        if (key.length() > MAX_KEY_LENGTH || key.chars().anyMatch(c -> c < ' ' || c > '~'))
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST,
                    "Idempotency-Key must have at most " + MAX_KEY_LENGTH + " printable ASCII characters");
        }
        WorkloadSpec spec = findSpec(workload);
        long fallback = spec == null ? DEFAULT_TIMEOUT_MILLIS : spec.timeoutMillis();
        long timeout = parseNumber(httpRequest, UpstreamHeaders.TIMEOUT, fallback);
        if (timeout < 1 || timeout > TimeUnit.MINUTES.toMillis(10))
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST,
                    "Gaugehollow-Timeout-Millis: expected 1 to 600000");
        }
        long deadline = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeout);
        String task = box + '-' + Long.toString(lastTaskNumber.incrementAndGet(), TASK_NUMBER_RADIX);
        return new CallerRequest(task, team, workload, key, parseKeyIssuedAt(httpRequest, key), deadline,
                httpRequest.header(HttpHeaderNames.CONTENT_TYPE.toString()).orElse(DEFAULT_CONTENT_TYPE),
                httpRequest.body(), 0, parseNumber(httpRequest, UpstreamHeaders.ATTEMPT, 0) == 1);
    }

    private WorkloadSpec findSpec(String workload)
    {
        ActiveConfig current = config.get();
        return current == null ? null : current.workload(workload).orElse(null);
    }

    /**
     * Returns when the key was issued: the time in the header, else the time in a version 7 UUID, else
     * 0.
     */
    private static long parseKeyIssuedAt(HttpRequest httpRequest, String key)
    {
        long embedded = KeyTime.fromUuid(key);
        long issuedAt = parseNumber(httpRequest, UpstreamHeaders.KEY_ISSUED, embedded);
        if (issuedAt < 0)
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST,
                    "Gaugehollow-Key-Issued-Millis must not be negative");
        }
        return issuedAt;
    }

    private static long parseNumber(HttpRequest httpRequest, String header, long fallback)
    {
        try
        {
            return httpRequest.header(header).map(Long::parseLong).orElse(fallback);
        }
        catch (NumberFormatException e)
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST, header + ": expected an integer", e);
        }
    }

    private HttpReply toReply(Answer answer, CallerRequest request)
    {
        ResultCode code = Answers.codeOf(answer);
        HttpReply reply = code.outcome() == Outcome.ANSWERED
                ? HttpReply.of(answer.getStatus(), answer.getContentType(), answer.getBody().toByteArray())
                : HttpReply.error(code, answer.getMessage(), answer.getRetryAfterMillis());
        HttpHeaders headers = reply.headers();
        headers.set(UpstreamHeaders.TASK, answer.getTask().isEmpty() ? request.task() : answer.getTask());
        headers.set(UpstreamHeaders.BOX, answer.getBox().isEmpty() ? box : answer.getBox());
        headers.set(UpstreamHeaders.OUTCOME, code.outcome().label());
        headers.set(UpstreamHeaders.CODE, code.number());
        if (!answer.getUpstream().isEmpty())
        {
            headers.set(UpstreamHeaders.UPSTREAM, answer.getUpstream());
        }
        return reply;
    }
}
