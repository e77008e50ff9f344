/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.gaugehollow.placement.Placement;

/** The newest placements of this box, numbered, for watches. Thread-safe. */
final class PlacementLog
{
    private static final int CAPACITY = 8192;

    /** One placement as watches show it. */
    record Entry(long sequence, String task, String team, String taskClass, String worker, long epoch,
            String policy, long waitedMicros)
    {
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition added = lock.newCondition();
    private final Deque<Entry> ring = new ArrayDeque<>();
    private long last;

    void add(Placement placement)
    {
        lock.lock();
        try
        {
            last++;
            if (ring.size() == CAPACITY)
            {
                ring.removeFirst();
            }
            ring.addLast(new Entry(last, placement.demand().task(), placement.demand().team(),
                    placement.demand().taskClass().label(), placement.worker(), placement.epoch(),
                    placement.policy(), placement.waitedNanos() / 1_000));
            added.signalAll();
        }
        finally
        {
            lock.unlock();
        }
    }

    /** Waits for placements after the given number; nothing at all if they are no longer held. */
    Optional<List<Entry>> awaitAfter(long from, long nanos) throws InterruptedException
    {
        lock.lock();
        try
        {
            long left = nanos;
            while (last <= from && left > 0)
            {
                left = added.awaitNanos(left);
            }
            boolean held = from >= last - ring.size();
            return held
                    ? Optional.of(ring.stream().filter(e -> e.sequence > from).toList())
                    : Optional.empty();
        }
        finally
        {
            lock.unlock();
        }
    }

    long last()
    {
        lock.lock();
        try
        {
            return last;
        }
        finally
        {
            lock.unlock();
        }
    }
}
