/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.upstream.UpstreamHeaders;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Open-loop load run: requests are sent at random times regardless of outstanding answers, and
 * their latency is measured from the scheduled send time.
 */
final class LoadRun
{
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int TIMEOUT_GRACE_MILLIS = 1_000;
    private static final int MAX_OPEN_CALLS = 20_000;

    private final LoadMix mix;
    private final List<HttpCaller> servers;
    private final double requestsPerSecond;
    private final long durationNanos;
    private final int timeoutMillis;
    private final UniformRandomProvider random;
    private final Map<String, LoadResult> results = new TreeMap<>();
    private final Semaphore openCallPermits = new Semaphore(MAX_OPEN_CALLS);
    private final AtomicLong sent = new AtomicLong();

    LoadRun(LoadMix mix, List<HttpCaller> servers, double requestsPerSecond, int seconds, int timeoutMillis,
            long seed)
    {
        this.mix = mix;
        this.servers = servers;
        this.requestsPerSecond = requestsPerSecond;
        this.durationNanos = TimeUnit.SECONDS.toNanos(seconds);
        this.timeoutMillis = timeoutMillis;
        this.random = RandomSource.XO_SHI_RO_128_PP.create(seed);
        mix.requests().forEach(part -> results.put(part.workload(), new LoadResult()));
    }

    /** Sends all requests, waits for their answers and returns a summary of each workload. */
    List<LoadResult.Summary> run(Runnable onEverySecond) throws InterruptedException
    {
        long startNanos = SteadyClock.nanos();
        long dueNanos = startNanos;
        long nextReportNanos = startNanos + TimeUnit.SECONDS.toNanos(1);
        while (dueNanos - startNanos < durationNanos)
        {
            TimeUnit.NANOSECONDS.sleep(dueNanos - SteadyClock.nanos());
            send(mix.pick(random.nextInt(mix.totalWeight())), dueNanos);
            dueNanos += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND);
            if (dueNanos - nextReportNanos > 0)
            {
                onEverySecond.run();
                nextReportNanos += TimeUnit.SECONDS.toNanos(1);
            }
        }
        openCallPermits.acquire(MAX_OPEN_CALLS);
        List<LoadResult.Summary> summaries = new ArrayList<>();
        results.forEach((workload, result) -> summaries.add(result.summary(workload)));
        return summaries;
    }

    long sent()
    {
        return sent.get();
    }

    private void send(LoadMix.Part part, long dueNanos) throws InterruptedException
    {
        LoadResult result = results.get(part.workload());
        result.recordOffered();
        HttpCaller server = servers.get((int) (sent.getAndIncrement() % servers.size()));
        openCallPermits.acquire();
        Thread.ofVirtual().name("load").start(() ->
        {
            try
            {
                callAndRecord(server, part, dueNanos, result);
            }
            finally
            {
                openCallPermits.release();
            }
        });
    }

    private void callAndRecord(HttpCaller server, LoadMix.Part part, long dueNanos, LoadResult result)
    {
        try
        {
            HttpReply reply = server.call(createMessage(part), timeoutMillis + TIMEOUT_GRACE_MILLIS);
            boolean answered = "answered".equals(reply.headers().get(UpstreamHeaders.OUTCOME));
            String code = reply.headers().get(UpstreamHeaders.CODE, Integer.toString(reply.status()));
            result.recordResult(code, answered, (SteadyClock.nanos() - dueNanos) / NANOS_PER_MICRO);
        }
        catch (GaugehollowException e)
        {
            result.recordResult("client-" + e.code().number(), false, 0);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    private HttpMessage createMessage(LoadMix.Part part)
    {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpReply.JSON_TYPE)
                .set(UpstreamHeaders.TEAM, part.team()).set(UpstreamHeaders.TIMEOUT, timeoutMillis);
        if (part.keyed())
        {
            headers.set(UpstreamHeaders.KEY, UUID.randomUUID().toString());
            headers.set(UpstreamHeaders.KEY_ISSUED, System.currentTimeMillis());
        }
        byte[] body = new String(Json.write(Map.of("millis", part.millis(), "echo", "load")),
                StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
        return new HttpMessage("POST", "/v1/workloads/" + part.workload() + "/requests", "", headers, body);
    }
}
