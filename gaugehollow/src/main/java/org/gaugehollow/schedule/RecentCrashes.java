/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * When workers crashed. Several that crash together have a cause of their own, such as a rack that
 * loses power; what was at work on each of them did not do it. Not thread-safe; used under the
 * ledger's lock.
 */
final class RecentCrashes
{
    /** Looks at workers that fall silent together end within this time of each other. */
    private static final long TOGETHER_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Fewer workers may be crashed by as many tasks at once. */
    private static final int FEWEST_TOGETHER = 3;
    /** Lives of workers that crashed together become known to be over within this time. */
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final TrackedWorkers workers;
    private final Deque<Long> moments = new ArrayDeque<>();

    RecentCrashes(TrackedWorkers workers)
    {
        this.workers = workers;
    }

    /** Takes note that a worker has crashed when it fell silent; one that never did tells no moment. */
    void add(TrackedWorker slot)
    {
        if (slot.isUnresponsive())
        {
            long newest = slot.unresponsiveSinceNanos();
            moments.removeIf(moment -> newest - moment > KEPT_NANOS);
            moments.add(newest);
        }
    }

    /** Whether a worker that has crashed, and was not added yet, fell silent together with others. */
    boolean isCorrelated(TrackedWorker slot)
    {
        if (!slot.isUnresponsive())
        {
            return false;
        }
        long crashed = moments.stream().filter(moment -> isTogether(slot, moment)).count();
        long silent = workers.all().stream().filter(other -> other != slot && other.isUnresponsive())
                .filter(other -> isTogether(slot, other.unresponsiveSinceNanos())).count();
        return crashed + silent + 1 >= FEWEST_TOGETHER;
    }

    private static boolean isTogether(TrackedWorker slot, long moment)
    {
        return Math.abs(moment - slot.unresponsiveSinceNanos()) <= TOGETHER_NANOS;
    }
}
