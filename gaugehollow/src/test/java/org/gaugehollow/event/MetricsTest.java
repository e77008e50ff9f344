/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

/** Tests that gauges are read on each scrape. */
class MetricsTest
{
    @Test
    void labelledGaugeIsReadOnEachScrape()
    {
        Metrics metrics = new Metrics();
        AtomicInteger tasks = new AtomicInteger(1);
        metrics.gauge("waiting", "Waiting tasks.", "reason",
                () -> Map.of("quota", tasks.doubleValue(), "advice", 0.0));
        tasks.set(2);
        String text = new String(metrics.scrape(), StandardCharsets.UTF_8);
        assertThat(text).contains("waiting{reason=\"quota\"} 2.0");
        assertThat(text).contains("waiting{reason=\"advice\"} 0.0");
    }
}
