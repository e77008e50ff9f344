/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.time;

import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.SymbolLookup;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;

/**
 * A monotonic clock that keeps counting while the machine is suspended, used for leases, terms,
 * rights and ages. {@link System#nanoTime} stops during suspension, so a box could keep using
 * rights that have already expired elsewhere.
 */
public final class SteadyClock
{
    private static final String FUNCTION = "clock_gettime";
    /** The id of the kernel clock that includes suspension, from {@code linux/time.h}. */
    private static final int CLOCK_BOOTTIME = 7;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long READ_FAILED = -1;

    /**
     * A constant, so that the JIT compiles calls through it; null if the system does not have this
     * clock.
     */
    private static final MethodHandle BOOT_TIME_FUNCTION = findFunction(Linker.nativeLinker().defaultLookup(),
            CLOCK_BOOTTIME);

    private SteadyClock()
    {
    }

    /** @return nanoseconds since an arbitrary origin before the start of this process */
    public static long nanos()
    {
        return read(BOOT_TIME_FUNCTION, CLOCK_BOOTTIME);
    }

    /** @return whether the clock advances while the machine is suspended */
    public static boolean countsSuspension()
    {
        return BOOT_TIME_FUNCTION != null;
    }

    /**
     * Looks up the system function that reads a clock.
     *
     * @param lookup the symbol lookup of the system
     * @param clockId the kernel's id of the clock
     * @return the function, or null if the system does not support it or the clock
     */
    static MethodHandle findFunction(SymbolLookup lookup, int clockId)
    {
        FunctionDescriptor descriptor = FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT,
                ValueLayout.ADDRESS);
        return lookup.find(FUNCTION)
                .map(address -> Linker.nativeLinker().downcallHandle(address, descriptor,
                        Linker.Option.critical(true)))
                .filter(function -> invoke(function, clockId) != READ_FAILED).orElse(null);
    }

    /**
     * Reads a clock.
     *
     * @param function the system function, or null for {@link System#nanoTime}
     * @param clockId the kernel's id of the clock
     * @return the time in nanoseconds
     */
    static long read(MethodHandle function, int clockId)
    {
        return function == null ? System.nanoTime() : invoke(function, clockId);
    }

    private static long invoke(MethodHandle function, int clockId)
    {
        long[] timespec = new long[2];
        try
        {
            int status = (int) function.invokeExact(clockId, MemorySegment.ofArray(timespec));
            return status == 0 ? timespec[0] * NANOS_PER_SECOND + timespec[1] : READ_FAILED;
        }
        catch (Throwable e)
        {
            throw new LinkageError("failed to call clock_gettime", e);
        }
    }
}
