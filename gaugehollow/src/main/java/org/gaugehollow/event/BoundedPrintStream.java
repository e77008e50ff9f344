/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A stream of log lines that never blocks its writers: a thread of its own passes the lines on, and
 * those that come while its buffer is full are dropped and counted. Each line begins with the time
 * at which it was printed. Only whole lines are taken; anything else that is printed is ignored.
 */
public final class BoundedPrintStream extends PrintStream
{
    /** Lines that wait for a slow reader; at some 120 bytes a line a quarter of a megabyte. */
    static final int CAPACITY = 2048;

    private static final long LONGEST_FLUSH_MILLIS = 200;
    private static final long STEP_MILLIS = 5;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    /** Lines that were taken and not passed on yet. */
    private final AtomicLong pending = new AtomicLong();
    private final PrintStream target;
    private final LongSupplier clock;

    private BoundedPrintStream(PrintStream target, LongSupplier clock)
    {
        super(OutputStream.nullOutputStream());
        this.target = target;
        this.clock = clock;
    }

    /**
     * @param target where the lines go in the end; it may block
     * @param clock milliseconds since 1970
     * @return the stream; its thread ends with the process
     */
    public static BoundedPrintStream start(PrintStream target, LongSupplier clock)
    {
        BoundedPrintStream stream = new BoundedPrintStream(target, clock);
        Thread.ofPlatform().name("log").daemon().start(stream::passOn);
        return stream;
    }

    @Override
    public void println(String line)
    {
        pending.incrementAndGet();
        if (!lines.offer(clock.getAsLong() + " " + line))
        {
            pending.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    @Override
    public void println(Object line)
    {
        println(String.valueOf(line));
    }

    /** Waits until all lines were passed on, but not for a reader that has stopped. */
    @Override
    public void flush()
    {
        long end = clock.getAsLong() + LONGEST_FLUSH_MILLIS;
        try
        {
            while (pending.get() > 0 && clock.getAsLong() < end)
            {
                Thread.sleep(STEP_MILLIS);
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    /** @return how many lines were dropped since the start */
    public long dropped()
    {
        return dropped.get();
    }

    private void passOn()
    {
        try
        {
            while (true)
            {
                target.println(lines.take());
                pending.decrementAndGet();
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }
}
