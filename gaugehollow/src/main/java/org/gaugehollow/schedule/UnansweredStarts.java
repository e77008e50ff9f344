/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Starts that were not answered. Each may be executed seconds later, even by the next incarnation
 * of the worker, which has the same id and accepts the same fencing token.
 * <p>
 * Not thread-safe; guarded by the lock of the cell state.
 */
final class UnansweredStarts
{
    /** Longest time between sending a command and its execution. */
    static final long MAX_DELIVERY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final List<SentStart> sentStarts = new ArrayList<>();

    /**
     * A start that may still arrive.
     *
     * @param worker the incarnation that it was sent to
     * @param task the full name of the task
     * @param run the run number
     * @param sentNanos monotonic time at which it was sent
     */
    private record SentStart(TrackedWorker worker, String task, int run, long sentNanos)
    {
        private boolean mayArrive(long nowNanos)
        {
            return nowNanos - sentNanos < MAX_DELIVERY_DELAY_NANOS;
        }

        private boolean isForEarlierIncarnationThan(TrackedWorker current)
        {
            return worker != current && worker.workerId().equals(current.workerId());
        }
    }

    /** Adds a start that was sent to a worker incarnation and not answered. */
    void add(TrackedWorker worker, String task, int run, long nowNanos)
    {
        sentStarts.removeIf(start -> !start.mayArrive(nowNanos));
        sentStarts.add(new SentStart(worker, task, run, nowNanos));
    }

    /**
     * Returns the starts for earlier incarnations of a worker that its current incarnation may execute,
     * as the highest run by task. A stop of that run also blocks the lower ones.
     */
    Map<String, Integer> forEarlierIncarnations(TrackedWorker worker, long nowNanos)
    {
        Map<String, Integer> runs = new HashMap<>();
        for (SentStart start : sentStarts)
        {
            if (start.mayArrive(nowNanos) && start.isForEarlierIncarnationThan(worker))
            {
                runs.merge(start.task(), start.run(), Math::max);
            }
        }
        return runs;
    }
}
