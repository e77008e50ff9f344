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

/** Retains the latest placements of this box, numbered in sequence, for watches. Thread-safe. */
final class PlacementLog
{
    private static final int CAPACITY = 8192;

    /** A placement as it is written to watches. */
    record Entry(long sequence, String task, String team, String taskClass, String worker, long epoch,
            String policy, long waitedMicros)
    {
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition added = lock.newCondition();
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long lastSequence;

    void add(Placement placement)
    {
        lock.lock();
        try
        {
            lastSequence++;
            if (entries.size() == CAPACITY)
            {
                entries.removeFirst();
            }
            entries.addLast(new Entry(lastSequence, placement.demand().task(), placement.demand().team(),
                    placement.demand().taskClass().label(), placement.worker(), placement.epoch(),
                    placement.policy(), placement.waitedNanos() / 1_000));
            added.signalAll();
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Waits for placements after a sequence number.
     *
     * @param sequence the sequence number
     * @param timeoutNanos the maximum time to wait, in nanoseconds
     * @return the placements, none after the timeout; empty if they are no longer retained
     * @throws InterruptedException if the thread is interrupted
     */
    Optional<List<Entry>> awaitAfter(long sequence, long timeoutNanos) throws InterruptedException
    {
        lock.lock();
        try
        {
            long remainingNanos = timeoutNanos;
            while (lastSequence <= sequence && remainingNanos > 0)
            {
                remainingNanos = added.awaitNanos(remainingNanos);
            }
            boolean retained = sequence >= lastSequence - entries.size();
            return retained
                    ? Optional.of(entries.stream().filter(e -> e.sequence > sequence).toList())
                    : Optional.empty();
        }
        finally
        {
            lock.unlock();
        }
    }

    long lastSequence()
    {
        lock.lock();
        try
        {
            return lastSequence;
        }
        finally
        {
            lock.unlock();
        }
    }
}
