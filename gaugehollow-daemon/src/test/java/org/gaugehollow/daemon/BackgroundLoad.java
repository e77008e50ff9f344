/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.net.HttpReply;

/**
 * Sends requests until stopped and collects all replies. A caller continues at once after an
 * answered request and waits before the next one otherwise.
 */
final class BackgroundLoad
{
    private static final int LONG_TIMEOUT_MILLIS = 8_000;
    private static final int SHORT_TIMEOUT_MILLIS = 3_000;

    private static final int RETRY_DELAY_MILLIS = 50;

    private final String prefix;
    private final int timeoutMillis;

    private final Map<String, HttpReply> replies = new ConcurrentHashMap<>();
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final AtomicInteger nextNumber = new AtomicInteger();
    private final List<Thread> callers = new ArrayList<>();

    /** Starts callers that use the boxes in turn; each keyed request gets a new key. */
    BackgroundLoad(TestCell cell, List<TestBox> boxes, int callerCount, String workload, int millis)
    {
        this(cell, boxes, callerCount, workload, millis, "load");
    }

    /** Starts callers with the given prefix for keys and echo values and a shorter timeout. */
    BackgroundLoad(TestCell cell, List<TestBox> boxes, int callerCount, String workload, int millis,
            String prefix)
    {
        cell.register(this);
        this.prefix = prefix;
        this.timeoutMillis = "load".equals(prefix) ? LONG_TIMEOUT_MILLIS : SHORT_TIMEOUT_MILLIS;
        for (int i = 0; i < callerCount; i++)
        {
            callers.add(Thread.startVirtualThread(() -> sendUntilStopped(cell, boxes, workload, millis)));
        }
    }

    private void sendUntilStopped(TestCell cell, List<TestBox> boxes, String workload, int millis)
    {
        try
        {
            while (running.get())
            {
                int number = nextNumber.getAndIncrement();
                String key = "goal".equals(workload) ? prefix + '-' + number : null;
                String body = "{\"millis\":" + millis + ",\"echo\":\"" + prefix + '-' + number + "\"}";
                TestBox box = boxes.get(number % boxes.size());
                HttpReply reply = cell.send(box, workload, key, body, timeoutMillis);
                replies.put(prefix + '-' + number, reply);
                if (!"answered".equals(TestCell.outcome(reply)))
                {
                    Thread.sleep(RETRY_DELAY_MILLIS);
                }
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    int answeredCount()
    {
        return (int) replies.values().stream().filter(r -> "answered".equals(TestCell.outcome(r))).count();
    }

    /** Stops the load without waiting for replies. */
    void cancel()
    {
        running.set(false);
        callers.forEach(Thread::interrupt);
    }

    /** Stops the load and returns the replies by the echo value of their request. */
    Map<String, HttpReply> stop() throws InterruptedException
    {
        running.set(false);
        for (Thread caller : callers)
        {
            caller.join();
        }
        return replies;
    }
}
