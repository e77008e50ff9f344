/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.time;

import static com.google.common.truth.Truth.assertThat;

import java.lang.foreign.Linker;
import java.lang.foreign.SymbolLookup;
import java.lang.invoke.MethodHandle;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.junit.jupiter.api.Test;

/**
 * Guards against a clock that stops during suspension or fails where the system function is
 * missing.
 */
class SteadyClockTest
{
    private static final int CLOCK_MONOTONIC = 1;
    private static final int UNKNOWN_CLOCK_ID = 9_999;
    private static final long PAUSE_MILLIS = 30;

    private static LongSupplier clock(SymbolLookup lookup, int clockId)
    {
        MethodHandle function = SteadyClock.findFunction(lookup, clockId);
        return () -> SteadyClock.read(function, clockId);
    }

    private static void assertRuns(LongSupplier clock) throws InterruptedException
    {
        long before = clock.getAsLong();
        Thread.sleep(PAUSE_MILLIS);
        long passed = clock.getAsLong() - before;
        assertThat(passed).isAtLeast(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS) - 1_000_000);
        assertThat(passed).isLessThan(TimeUnit.SECONDS.toNanos(20));
    }

    @Test
    void clockRunsAndCountsSuspension() throws InterruptedException
    {
        assertRuns(SteadyClock::nanos);
        assertThat(SteadyClock.countsSuspension()).isTrue();
    }

    /** Compares with {@link System#nanoTime}, which reads the same kernel clock. */
    @Test
    void systemClockIsReadInNanoseconds()
    {
        LongSupplier clock = clock(Linker.nativeLinker().defaultLookup(), CLOCK_MONOTONIC);
        long before = System.nanoTime();
        long read = clock.getAsLong();
        assertThat(read).isAtLeast(before);
        assertThat(read).isAtMost(System.nanoTime());
    }

    @Test
    void fallsBackToNanoTimeWithoutSystemClock() throws InterruptedException
    {
        SymbolLookup nothing = name -> Optional.empty();
        assertRuns(clock(nothing, CLOCK_MONOTONIC));
        assertRuns(clock(Linker.nativeLinker().defaultLookup(), UNKNOWN_CLOCK_ID));
    }
}
