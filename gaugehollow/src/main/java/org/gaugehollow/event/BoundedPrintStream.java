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
 * Print stream for log lines that never blocks its writers. A separate thread forwards the lines;
 * lines printed while the buffer is full are dropped and counted. Each line is prefixed with the
 * time at which it was printed. Only {@code println} is supported; other output is ignored.
 */
public final class BoundedPrintStream extends PrintStream
{
    /** Maximum number of buffered lines; a quarter of a megabyte at about 120 bytes per line. */
    static final int CAPACITY = 2048;

    private static final long MAX_FLUSH_MILLIS = 200;
    private static final long FLUSH_POLL_MILLIS = 5;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    /** Number of accepted lines that have not been forwarded yet. */
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
     * @param target stream to which the lines are forwarded; may block
     * @param clock supplies milliseconds since the epoch
     * @return the stream; its thread is a daemon
     */
    public static BoundedPrintStream start(PrintStream target, LongSupplier clock)
    {
        BoundedPrintStream stream = new BoundedPrintStream(target, clock);
        Thread.ofPlatform().name("log").daemon().start(stream::forwardLines);
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

    /** Waits until all accepted lines are forwarded, but not for longer than a fixed limit. */
    @Override
    public void flush()
    {
        long deadline = clock.getAsLong() + MAX_FLUSH_MILLIS;
        try
        {
            while (pending.get() > 0 && clock.getAsLong() < deadline)
            {
                Thread.sleep(FLUSH_POLL_MILLIS);
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    /** @return number of lines dropped since the start */
    public long dropped()
    {
        return dropped.get();
    }

    private void forwardLines()
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
