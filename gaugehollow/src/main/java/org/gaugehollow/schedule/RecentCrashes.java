/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the times of recent worker crashes. Crashes within a short window are taken to have a
 * common cause, such as a rack that loses power, so they are not attributed to the tasks.
 * <p>
 * Not thread-safe; guarded by the lock of the cell state.
 */
final class RecentCrashes
{
    /** Longest difference between the missed heartbeats of workers that fail together. */
    private static final long CORRELATION_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Smaller groups may have been crashed by as many poison tasks. */
    private static final int MIN_CORRELATED_WORKERS = 3;
    /** Time within which the crashes of workers that failed together are confirmed. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final TrackedWorkers workers;
    private final Deque<Long> crashTimesNanos = new ArrayDeque<>();

    RecentCrashes(TrackedWorkers workers)
    {
        this.workers = workers;
    }

    /**
     * Records the crash of a worker at the time at which it became unresponsive. A worker that never
     * became unresponsive is ignored.
     */
    void add(TrackedWorker worker)
    {
        if (worker.isUnresponsive())
        {
            long newestNanos = worker.unresponsiveSinceNanos();
            crashTimesNanos.removeIf(timeNanos -> newestNanos - timeNanos > RETENTION_NANOS);
            crashTimesNanos.add(newestNanos);
        }
    }

    /**
     * Returns whether a crashed worker, which has not been added yet, became unresponsive together with
     * others.
     */
    boolean isCorrelated(TrackedWorker worker)
    {
        if (!worker.isUnresponsive())
        {
            return false;
        }
        long crashed = crashTimesNanos.stream().filter(timeNanos -> isWithinWindow(worker, timeNanos))
                .count();
        long unresponsive = workers.all().stream().filter(other -> other != worker && other.isUnresponsive())
                .filter(other -> isWithinWindow(worker, other.unresponsiveSinceNanos())).count();
        return crashed + unresponsive + 1 >= MIN_CORRELATED_WORKERS;
    }

    private static boolean isWithinWindow(TrackedWorker worker, long timeNanos)
    {
        return Math.abs(timeNanos - worker.unresponsiveSinceNanos()) <= CORRELATION_WINDOW_NANOS;
    }
}
