/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.ComputeResources;
import org.junit.jupiter.api.Test;

/** Guards against a drain rate that is wrong while little or nothing has been measured. */
class CapacitySummaryTest
{
    private static final ComputeResources WORKER = new ComputeResources(0, 16_000, 64_000, 0);
    private static final ComputeResources TASK = new ComputeResources(0, 6_000, 100, 0);

    private final CapacitySummary summary = new CapacitySummary("service");

    private long drain(long completedPerSecond)
    {
        return summary.summarize(completedPerSecond).drainPerSecond();
    }

    @Test
    void capacityIsTheBoundWhileNothingRuns()
    {
        assertThat(drain(0)).isEqualTo(0);
        summary.addWorker(WORKER, WORKER);
        assertThat(drain(0)).isEqualTo(16_000);
        summary.addRun(TASK, true);
        assertThat(drain(0)).isEqualTo(10_000);
    }

    /** No task of a flood has completed when its second half arrives. */
    @Test
    void whatRunsCountsAlthoughNothingHasCompleted()
    {
        summary.addWorker(WORKER, ComputeResources.NONE);
        summary.addRun(TASK, false);
        assertThat(drain(0)).isEqualTo(4_000);
        assertThat(drain(100)).isEqualTo(4_000);
        assertThat(drain(7_000)).isEqualTo(7_000);
    }

    @Test
    void gapsTooSmallForTheWaitingTasksAreNotFree()
    {
        summary.addWorker(WORKER, new ComputeResources(0, 5_999, 1_000, 0));
        summary.addWorker(WORKER, TASK);
        summary.addClaims(TASK, 2);
        assertThat(summary.summarize(0).freeCpuMillis()).isEqualTo(6_000);
        assertThat(summary.summarize(0).claimedCpuMillis()).isEqualTo(12_000);
    }

    @Test
    void completedWorkIsForgottenAfterTheWindow()
    {
        CompletionRate rate = new CompletionRate();
        long begin = TimeUnit.SECONDS.toNanos(-1);
        rate.add("service", 8_000, begin);
        assertThat(rate.perSecond("service", begin)).isEqualTo(2_000);
        assertThat(rate.perSecond("other", begin)).isEqualTo(0);
        assertThat(rate.perSecond("service",
                begin + TimeUnit.MILLISECONDS.toNanos(CompletionRate.WINDOW_MILLIS - 1))).isEqualTo(2_000);
        assertThat(rate.perSecond("service",
                begin + TimeUnit.MILLISECONDS.toNanos(CompletionRate.WINDOW_MILLIS))).isEqualTo(0);
    }
}
