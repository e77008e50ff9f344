/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.supervise;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.HybridClock;
import org.junit.jupiter.api.Test;

/** Tests restarts of failed tasks and the stop order. */
class SupervisorTest
{
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));

    @Test
    void failedTaskIsRestartedAndFailuresAreRecorded() throws Exception
    {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch third = new CountDownLatch(1);
        try (Supervisor root = new Supervisor("root", events))
        {
            root.start("flaky", () ->
            {
                if (runs.incrementAndGet() < 3)
                {
                    throw new IllegalStateException("test failure");
                }
                third.countDown();
                Thread.sleep(60_000);
            });
            assertThat(third.await(30, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(events.since(0).stream().filter(e -> e.number() == EventType.SERVICE_FAILED.number()))
                .hasSize(2);
    }

    @Test
    void tasksAndChildrenStopInReverseStartOrder() throws InterruptedException
    {
        List<String> stopped = new CopyOnWriteArrayList<>();
        CountDownLatch started = new CountDownLatch(3);
        Supervisor root = new Supervisor("root", events);
        root.start("first", () -> runUntilStopped("first", started, stopped));
        root.child("branch").start("second", () -> runUntilStopped("second", started, stopped));
        root.start("third", () -> runUntilStopped("third", started, stopped));
        assertThat(started.await(30, TimeUnit.SECONDS)).isTrue();
        root.close();
        assertThat(stopped).containsExactly("third", "second", "first").inOrder();
    }

    private static void runUntilStopped(String name, CountDownLatch started, List<String> stopped)
            throws InterruptedException
    {
        try
        {
            started.countDown();
            Thread.sleep(60_000);
        }
        finally
        {
            stopped.add(name);
        }
    }
}
