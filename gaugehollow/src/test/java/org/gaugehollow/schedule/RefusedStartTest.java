/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobState;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.StoredValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Guards against jobs that are missing among the waiting ones although no worker has begun them.
 */
@Execution(ExecutionMode.CONCURRENT)
class RefusedStartTest
{
    private static final long TIMEOUT_MILLIS = 5_000;
    /** Covers several counts and starts. */
    private static final long OBSERVED_MILLIS = 1_500;
    private static final String TASK = TestJobs.ID + ".0.0.0";

    private final FakePlatform platform = new FakePlatform();
    private TestTerm term;

    @AfterEach
    void stop()
    {
        term.close();
    }

    private int pending()
    {
        JsonNode counts = platform.fakeStore().get(JobKeys.SUMMARY).map(StoredValue::value)
                .map(value -> Json.read(value, JsonNode.class, ResultCode.STORE_BAD_ANSWER))
                .orElse(Json.mapper().createObjectNode());
        return counts.path(TestJobs.QUEUE.name()).asInt();
    }

    private JobState shownState()
    {
        return platform.fakeStore().get(JobKeys.progress(TestJobs.ID)).map(StoredValue::value)
                .map(value -> JobCodec.readProgress(value).state()).orElse(JobState.QUEUED);
    }

    @Test
    void jobWhoseStartsAreRefusedIsPending() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.setUnhealthy(true);
        term = new TestTerm(platform, "box");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.startCount() > 2)).isTrue();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> pending() == 1)).isTrue();
        assertThat(TestJobs.waitUntil(OBSERVED_MILLIS, () -> pending() == 0)).isFalse();
        assertThat(TestJobs.waitUntil(OBSERVED_MILLIS, () -> shownState() == JobState.QUEUED)).isTrue();
        worker.setUnhealthy(false);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        assertThat(
                TestJobs.waitUntil(TIMEOUT_MILLIS, () -> pending() == 0 && shownState() == JobState.RUNNING))
                .isTrue();
    }

    @Test
    void jobWhoseStartIsLostIsPending() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.hangStarts(1);
        term = new TestTerm(platform, "box");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.hungStart() != null)).isTrue();
        assertThat(TestJobs.waitUntil(OBSERVED_MILLIS, () -> pending() == 1)).isTrue();
    }

    /** The previous owner recorded the start and ended before it was sent. */
    @Test
    void jobWhoseStartWasNeverSentIsPending() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        worker.hangStarts(1);
        term = new TestTerm(platform, "box");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.hungStart() != null)).isTrue();
        term.close();
        worker.setUnhealthy(true);
        term = new TestTerm(platform, "other");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> pending() == 1)).isTrue();
    }

    @Test
    void jobThatHasBegunIsNotPendingAfterAChangeOfOwner() throws InterruptedException
    {
        FakeWorker worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box");
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        term.close();
        worker.setUnresponsive(true);
        term = new TestTerm(platform, "other");
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> pending() == 0)).isTrue();
        assertThat(TestJobs.waitUntil(OBSERVED_MILLIS, () -> pending() > 0)).isFalse();
        assertThat(shownState()).isEqualTo(JobState.RUNNING);
    }
}
