/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests line order, timestamps, flushing and a blocked reader. */
class BoundedPrintStreamTest
{
    private static final long TIME = 1_700_000_000_000L;
    private static final int EXCESS_LINES = 10;

    @Test
    @Timeout(10)
    void linesAreForwardedInOrderWithTimestamps() throws IOException
    {
        PipedOutputStream written = new PipedOutputStream();
        try (PipedInputStream read = new PipedInputStream(written))
        {
            BoundedPrintStream stream = BoundedPrintStream.start(new PrintStream(written, true), () -> TIME);
            stream.println("first");
            stream.println(new StringBuilder("second"));
            String expected = TIME + " first\n" + TIME + " second\n";
            byte[] bytes = read.readNBytes(expected.length());
            assertThat(new String(bytes, StandardCharsets.UTF_8)).isEqualTo(expected);
            assertThat(stream.dropped()).isEqualTo(0);
        }
    }

    /** Guards against the loss of the last lines when a process stops. */
    @Test
    @Timeout(10)
    void flushWaitsForPendingLines()
    {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        BoundedPrintStream stream = BoundedPrintStream.start(new PrintStream(written, true), () -> TIME);
        for (int i = 0; i < BoundedPrintStream.CAPACITY / 2; i++)
        {
            stream.println("line " + i);
        }
        stream.flush();
        assertThat(written.toString(StandardCharsets.UTF_8).lines().count())
                .isEqualTo(BoundedPrintStream.CAPACITY / 2);
    }

    /** Guards against writers blocked by a stalled reader. */
    @Test
    @Timeout(10)
    void blockedReaderDropsLinesWithoutBlockingWriters() throws InterruptedException
    {
        CountDownLatch readerBlocked = new CountDownLatch(1);
        CountDownLatch releaseReader = new CountDownLatch(1);
        OutputStream blocked = new ByteArrayOutputStream()
        {
            @Override
            public synchronized void write(byte[] bytes, int from, int length)
            {
                readerBlocked.countDown();
                awaitQuietly(releaseReader);
            }
        };
        BoundedPrintStream stream = BoundedPrintStream.start(new PrintStream(blocked, true), () -> TIME);
        stream.println("line at which the reader blocks");
        readerBlocked.await();
        for (int i = 0; i < BoundedPrintStream.CAPACITY + EXCESS_LINES; i++)
        {
            stream.println("line " + i);
        }
        assertThat(stream.dropped()).isEqualTo(EXCESS_LINES);
        releaseReader.countDown();
    }

    private static void awaitQuietly(CountDownLatch latch)
    {
        try
        {
            latch.await();
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }
}
