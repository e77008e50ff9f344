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
 * Starts that got no answer. Each may be carried out seconds later, and then by the next life of
 * the worker, which has the same id and accepts the same fencing token. Not thread-safe; used under
 * the ledger's lock.
 */
final class UnansweredStarts
{
    /** So long after it was sent a start is carried out at the latest. */
    private static final long LATEST_ARRIVAL_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final List<Sent> sent = new ArrayList<>();

    /**
     * A start that may still arrive.
     *
     * @param slot the life that it was sent to
     * @param task the task's full name
     * @param run the number of the run
     * @param sentNanos when it was sent, on the monotonic clock
     */
    private record Sent(TrackedWorker slot, String task, int run, long sentNanos)
    {
        private boolean mayArrive(long nowNanos)
        {
            return nowNanos - sentNanos < LATEST_ARRIVAL_NANOS;
        }

        private boolean isForEarlierLifeThan(TrackedWorker newest)
        {
            return slot != newest && slot.worker().equals(newest.worker());
        }
    }

    /** A start was sent to a life of a worker and not answered. */
    void add(TrackedWorker slot, String task, int run, long nowNanos)
    {
        sent.removeIf(start -> !start.mayArrive(nowNanos));
        sent.add(new Sent(slot, task, run, nowNanos));
    }

    /**
     * The starts for earlier lives of a worker that its present life may carry out: by task, the
     * highest run. A stop of that run bars those below it as well.
     */
    Map<String, Integer> forEarlierIncarnations(TrackedWorker slot, long nowNanos)
    {
        Map<String, Integer> runs = new HashMap<>();
        for (Sent start : sent)
        {
            if (start.mayArrive(nowNanos) && start.isForEarlierLifeThan(slot))
            {
                runs.merge(start.task(), start.run(), Math::max);
            }
        }
        return runs;
    }
}
