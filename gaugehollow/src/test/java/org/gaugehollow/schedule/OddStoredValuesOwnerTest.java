/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.StoreTransaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against an owner that begins no work because another writer left an odd value. */
@Execution(ExecutionMode.CONCURRENT)
class OddStoredValuesOwnerTest
{
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int DEPTH = 100_000;
    private static final List<String> ODD_RECORDS = List.of("{}", "{\"id\":\"00000000000000b1\"}",
            "{\"id\":\"00000000000000b2\",\"queue\":{},\"job\":{}}",
            "{\"id\":\"00000000000000b3\",\"queue\":{\"name\":\"urgent\"},\"job\":{\"text\":\"\",\"steps\":null}}",
            "{\"id\":null,\"queue\":null,\"job\":null}",
            "{\"id\":\"00000000000000b4\",\"queue\":{\"name\":\"urgent\",\"service\":\"service\"},"
                    + "\"job\":{\"text\":\"x\",\"steps\":[null]}}",
            "{\"id\":\"00000000000000b5\",\"queue\":{\"name\":\"urgent\",\"service\":\"service\"},"
                    + "\"job\":{\"text\":\"x\",\"steps\":[{\"count\":100000,\"cpu\":1,\"memMb\":300000}]}}",
            "[".repeat(DEPTH) + "]".repeat(DEPTH), "1e999999999", "");

    private final FakePlatform platform = new FakePlatform();
    private TestTerm term;

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void put(String key, String value) throws InterruptedException
    {
        platform.store().commit(new StoreTransaction().put(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    private void assertWorkBegins() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TestJobs.ID + ".0.0.0")))
                .isTrue();
    }

    @Test
    void oddJobRecords() throws InterruptedException
    {
        for (int i = 0; i < ODD_RECORDS.size(); i++)
        {
            put(JobKeys.job("00000000000000b" + i), ODD_RECORDS.get(i));
        }
        assertWorkBegins();
    }

    @Test
    void oddProgress() throws InterruptedException
    {
        List<String> values = List.of("{}", "{\"queue\":null,\"state\":\"RUNNING\",\"rounds\":[null]}",
                "{\"queue\":\"urgent\",\"state\":\"RUNNING\",\"rounds\":[{\"steps\":[{\"tasks\":[null]}]}]}",
                "{\"queue\":\"urgent\",\"state\":\"RUNNING\",\"rounds\":[{\"steps\":[null]}]}",
                "[".repeat(DEPTH), "");
        for (int i = 0; i < values.size(); i++)
        {
            String id = "00000000000000c" + i;
            platform.accept(TestJobs.job(id, TestJobs.step(1, 1_000, List.of())));
            put(JobKeys.progress(id), values.get(i));
        }
        assertWorkBegins();
    }

    @Test
    void oddCancellations() throws InterruptedException
    {
        put(JobKeys.cancellation("00000000000000d1"), "");
        put(JobKeys.cancellation("00000000000000d2"), "\n\n");
        put(JobKeys.JOBS + "odd", "{}");
        put(JobKeys.JOBS + "/spec", "{}");
        assertWorkBegins();
    }

    @Test
    void oddExpiringLeases() throws InterruptedException
    {
        put(JobKeys.EXPIRING_LEASES, "{\"fence\":1,\"millisLeft\":{\"w1\":null}}");
        put(JobKeys.OWNER, "previous");
        long fence = platform.fakeStore().get(JobKeys.OWNER).orElseThrow().modRevision();
        put(JobKeys.EXPIRING_LEASES, "{\"fence\":" + fence + ",\"millisLeft\":{\"w1\":null,\"\":5}}");
        assertWorkBegins();
    }

    @Test
    void oddWitnesses() throws InterruptedException
    {
        put(JobKeys.WITNESSES, "{\"witnesses\":[null],\"unwitnessed\":null}");
        assertWorkBegins();
    }
}
