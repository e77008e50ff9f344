/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against refused callers that all return at the same moment, or too late for them. */
class RetryScheduleTest
{
    private static final long PATIENCE_MILLIS = 3_000;

    private final RetrySchedule schedule = new RetrySchedule();

    private int delay(long earliestMillis, double returnsPerSecond, long atMillis)
    {
        return schedule.delaySeconds(earliestMillis, PATIENCE_MILLIS, returnsPerSecond,
                TimeUnit.MILLISECONDS.toNanos(atMillis));
    }

    @Test
    void firstRefusedReturnsFirst()
    {
        assertThat(List.of(delay(0, 2, 0), delay(0, 2, 0), delay(0, 2, 0), delay(0, 2, 100)))
                .containsExactly(1, 1, 2, 2).inOrder();
        assertThat(delay(0, 2, 1_000)).isEqualTo(2);
    }

    @Test
    void callerReturnsWhenRoomIsExpectedButWithinItsPatience()
    {
        assertThat(delay(1_001, 10, 0)).isEqualTo(2);
        assertThat(delay(60_000, 10, 0)).isEqualTo(3);
        assertThat(schedule.delaySeconds(60_000, 200, 10, 0)).isEqualTo(1);
    }

    @Property
    void noSecondGetsMoreReturnsThanItCanAcceptBeforeAllAreFull(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 400) Integer> pauses)
    {
        RetrySchedule fresh = new RetrySchedule();
        Map<Long, Integer> returns = new HashMap<>();
        long now = TimeUnit.SECONDS.toMillis(-3);
        for (int pause : pauses)
        {
            now += pause;
            int delay = fresh.delaySeconds(0, PATIENCE_MILLIS, 4, TimeUnit.MILLISECONDS.toNanos(now));
            assertThat(delay).isIn(List.of(1, 2, 3));
            long second = TimeUnit.MILLISECONDS.toSeconds(now);
            boolean anyFree = List.of(1, 2, 3).stream()
                    .anyMatch(d -> returns.getOrDefault(second + d, 0) < 4);
            assertThat(returns.getOrDefault(second + delay, 0) < 4 || !anyFree).isTrue();
            returns.merge(second + delay, 1, Integer::sum);
        }
    }
}
