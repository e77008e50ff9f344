/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.time.SteadyClock;

/** One term of a box as the cell's owner, from the write of the owner's key until the term ends. */
final class OwnerLease
{
    /**
     * Maximum time for which an owner sends commands without a confirmation by the store. A new owner
     * relies on this limit when it waits for runs on unreachable workers.
     */
    static final long MAX_UNCONFIRMED_NANOS = 8_000_000_000L;

    /** Fencing token that stands for an unknown term. */
    static final long UNKNOWN_FENCE = 0;

    private final String box;
    private final long ownerRevision;
    private final long storeLease;
    private final long previousFence;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicReference<String> endReason = new AtomicReference<>();
    private volatile long confirmedNanos = SteadyClock.nanos();

    /**
     * @param box id of the box that owns the cell
     * @param ownerRevision revision of the owner's key; also the fencing token
     * @param storeLease id of the store's lease that the key is tied to
     * @param previousFence fencing token of the previous term, or {@link #UNKNOWN_FENCE}
     */
    OwnerLease(String box, long ownerRevision, long storeLease, long previousFence)
    {
        this.previousFence = previousFence;
        this.box = box;
        this.ownerRevision = ownerRevision;
        this.storeLease = storeLease;
    }

    /** Ends the term. Only the first reason is kept. */
    void end(String reason)
    {
        endReason.compareAndSet(null, reason);
        ended.countDown();
    }

    /** Records that the store has confirmed the term. */
    void recordConfirmation()
    {
        confirmedNanos = SteadyClock.nanos();
    }

    /**
     * Returns whether commands may be sent, that is, whether the store has confirmed the term recently.
     */
    boolean maySendCommands()
    {
        return !hasEnded() && SteadyClock.nanos() - confirmedNanos < MAX_UNCONFIRMED_NANOS;
    }

    /** Returns the time since the store last confirmed the term, in milliseconds. */
    long unconfirmedMillis()
    {
        return TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - confirmedNanos);
    }

    boolean hasEnded()
    {
        return ended.getCount() == 0;
    }

    /** Waits until the term has ended and returns whether it has. */
    boolean awaitEnd(long millis) throws InterruptedException
    {
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    String endReason()
    {
        return endReason.get();
    }

    String box()
    {
        return box;
    }

    long ownerRevision()
    {
        return ownerRevision;
    }

    /** Returns the fencing token that workers compare. It increases with each term. */
    long fence()
    {
        return ownerRevision;
    }

    long storeLease()
    {
        return storeLease;
    }

    /** Returns the fencing token of the previous term, or {@link #UNKNOWN_FENCE}. */
    long previousFence()
    {
        return previousFence;
    }
}
