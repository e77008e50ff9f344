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

/** The log's stream: order, time, and a reader that stops. */
class BoundedPrintStreamTest
{
    private static final long TIME = 1_700_000_000_000L;
    private static final int BEYOND = 10;

    @Test
    @Timeout(10)
    void linesComeInOrderEachWithItsTime() throws IOException
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

    /** So the last lines of a box that is stopped are not lost. */
    @Test
    @Timeout(10)
    void aFlushWaitsForTheLinesThatWereTaken()
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

    /** A writer is never held up; what the buffer does not hold is counted as dropped. */
    @Test
    @Timeout(10)
    void aReaderThatStopsDropsLinesAndHoldsNobodyUp() throws InterruptedException
    {
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        OutputStream stopped = new ByteArrayOutputStream()
        {
            @Override
            public synchronized void write(byte[] bytes, int from, int length)
            {
                reading.countDown();
                awaitQuietly(goOn);
            }
        };
        BoundedPrintStream stream = BoundedPrintStream.start(new PrintStream(stopped, true), () -> TIME);
        stream.println("the line that the reader stops at");
        reading.await();
        for (int i = 0; i < BoundedPrintStream.CAPACITY + BEYOND; i++)
        {
            stream.println("line " + i);
        }
        assertThat(stream.dropped()).isEqualTo(BEYOND);
        goOn.countDown();
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
