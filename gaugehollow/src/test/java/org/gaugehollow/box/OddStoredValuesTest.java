/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.schedule.AdviceDispatcher;
import org.gaugehollow.worker.Advice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against one odd value of another writer that ends a reader, or hides the values after it.
 */
class OddStoredValuesTest
{
    private static final int DEPTH = 100_000;
    private static final String LONG_NUMBER = "9".repeat(5_000);
    private static final List<String> FIELDS = List.of("address", "processorMillis", "id", "queue", "job",
            "acceptedMillis", "customer", "state", "rounds");
    private static final List<String> VALUES = List.of("null", "{}", "[]", "[null]", "\"\"", "0", "-1",
            "1e308", LONG_NUMBER, "\"10.0.0.1:70000\"", "\"10.0.0.1:-1\"", "\"10.0.0.1\"", "\"\\u0000\"",
            "{\"name\":null}", "[{\"steps\":null}]", "[".repeat(DEPTH) + "]".repeat(DEPTH));

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final PeerDirectory directory = new PeerDirectory(loops, events, new Metrics());
    private final BoxRegistry registry = new BoxRegistry("self", new BoxRegistry.Entry("127.0.0.1:2", 700),
            new FakeStore(), directory, new PeerTermProbe("self", "127.0.0.1:2", directory), "hall",
            new AdviceDispatcher((step, workers, timeout) -> new Advice(List.of(), 0), events), events);

    @AfterEach
    void close()
    {
        directory.close();
        loops.close();
    }

    private static List<byte[]> oddValues()
    {
        List<String> texts = new ArrayList<>(VALUES);
        texts.add("");
        texts.add("{\"address\":");
        for (String field : FIELDS)
        {
            VALUES.forEach(value -> texts.add("{\"" + field + "\":" + value + '}'));
        }
        List<byte[]> values = new ArrayList<>();
        texts.forEach(text -> values.add(text.getBytes(StandardCharsets.UTF_8)));
        values.add(new byte[]{(byte) 0xff, 0, (byte) 0xfe});
        return values;
    }

    private static String describe(byte[] value)
    {
        String text = new String(value, StandardCharsets.UTF_8);
        return text.substring(0, Math.min(text.length(), 80));
    }

    @Test
    void registrationsAfterAnOddOneAreFollowed()
    {
        long revision = 1;
        for (byte[] value : oddValues())
        {
            revision++;
            String key = JobKeys.BOXES + "odd" + revision;
            try
            {
                registry.onPut(key, value, revision);
            }
            catch (RuntimeException e)
            {
                assertWithMessage(describe(value)).that(e).isNull();
            }
            registry.onRemoved(key, revision);
        }
        registry.onPut(JobKeys.BOXES + "good", Json.write(new BoxRegistry.Entry("127.0.0.1:3", 700)),
                revision + 1);
        assertThat(registry.peers()).containsExactly("good");
        assertThat(registry.isOutranked("")).isFalse();
    }

    @Test
    void jobRecordsAreReadOrRefusedWithACode()
    {
        for (byte[] value : oddValues())
        {
            readOrRefuse(value, () -> JobCodec.readRecord(value));
            readOrRefuse(value, () -> JobCodec.readProgress(value));
        }
    }

    private static void readOrRefuse(byte[] value, Runnable read)
    {
        try
        {
            read.run();
        }
        catch (GaugehollowException e)
        {
            assertThat(e.code().name()).isEqualTo("STORE_BAD_ANSWER");
        }
        catch (RuntimeException | StackOverflowError e)
        {
            assertWithMessage(describe(value)).that(e).isNull();
        }
    }
}
