/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metrics of one process. They have a separate registry, so that tests can run several processes in
 * one JVM.
 */
public final class Metrics
{
    /** Media type of {@link #scrape}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
            0.2, 0.5, 1, 2, 5, 10};

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter results = Counter.builder().name("gaugehollow_requests_total")
            .help("Requests answered, by class and result code.").labelNames("class", "code")
            .register(registry);
    private final Histogram waiting = Histogram.builder().name("gaugehollow_waiting_seconds")
            .help("Time a task waited for its placement, by class and policy.").labelNames("class", "policy")
            .classicOnly().classicUpperBounds(BUCKET_BOUNDS_SECONDS).register(registry);
    private final Counter jobCalls = Counter.builder().name("gaugehollow_job_calls_total")
            .help("Calls about jobs, by what was asked and result code.").labelNames("call", "code")
            .register(registry);
    private final Histogram jobSeconds = Histogram.builder().name("gaugehollow_job_call_seconds")
            .help("Time until a call about a job was answered.").labelNames("call").classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS).register(registry);
    private final Counter storeCalls = Counter.builder().name("gaugehollow_store_calls_total")
            .help("Calls to the platform's service, by kind and result.").labelNames("kind", "result")
            .register(registry);
    private final Counter peerBytes = Counter.builder().name("gaugehollow_peer_bytes_total")
            .help("Bytes sent to peers, by kind of call.").labelNames("kind").register(registry);
    private final Counter events = Counter.builder().name("gaugehollow_events_total")
            .help("Logged events, by name.").labelNames("event").register(registry);
    private final Counter jobsRefused = Counter.builder().name("gaugehollow_jobs_refused_total")
            .help("Jobs refused because too much work waits, by queue.").labelNames("queue")
            .register(registry);
    private final Counter retries = Counter.builder().name("gaugehollow_retries_total")
            .help("Tries after a task was not run, by what became of the wish.").labelNames("result")
            .register(registry);

    /**
     * Records a call of the job API.
     *
     * @param call name of the call
     * @param code name of the result code
     * @param nanos duration in nanoseconds
     */
    public void recordJobCall(String call, String code, long nanos)
    {
        jobCalls.labelValues(call, code).inc();
        jobSeconds.labelValues(call).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Counts a logged event.
     *
     * @param type event type
     */
    void recordEvent(EventType type)
    {
        events.labelValues(type.name()).inc();
    }

    /** @return counter of answered requests */
    public Counter results()
    {
        return results;
    }

    /** @return histogram of waiting times */
    public Histogram waiting()
    {
        return waiting;
    }

    /** @return counter of calls to the store */
    public Counter storeCalls()
    {
        return storeCalls;
    }

    /** @return counter of bytes sent to peers */
    public Counter peerBytes()
    {
        return peerBytes;
    }

    /** @return counter of jobs refused because too much work waits */
    public Counter jobsRefused()
    {
        return jobsRefused;
    }

    /** @return counter of retries */
    public Counter retries()
    {
        return retries;
    }

    /**
     * Adds a gauge whose value is read on each scrape.
     *
     * @param name metric name
     * @param help one-sentence description
     * @param value supplies the value
     */
    public void gauge(String name, String help, DoubleSupplier value)
    {
        GaugeWithCallback.builder().name(name).help(help)
                .callback(callback -> callback.call(value.getAsDouble())).register(registry);
    }

    /**
     * Adds a gauge with one label whose values are read on each scrape.
     *
     * @param name metric name
     * @param help one-sentence description
     * @param label name of the label
     * @param values supplies the values by value of the label
     */
    public void gauge(String name, String help, String label, Supplier<Map<String, Double>> values)
    {
        GaugeWithCallback.builder().name(name).help(help).labelNames(label)
                .callback(callback -> values.get().forEach((key, value) -> callback.call(value, key)))
                .register(registry);
    }

    /** @return all metrics in the Prometheus text format */
    public byte[] scrape()
    {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try
        {
            new PrometheusTextFormatWriter(false).write(out, registry.scrape());
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
