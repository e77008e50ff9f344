/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
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
    /** Monotonic time as of which the store has confirmed the term. */
    private final AtomicLong confirmedNanos;
    /** Monotonic time as of which a witness has vouched for the term. */
    private final AtomicLong vouchedNanos;
    /** Whether leases may be renewed for as long as commands may be sent. */
    private volatile boolean unwitnessed;
    /** Monotonic time at which the store last answered a renewal of the lease. */
    private volatile long renewedNanos = SteadyClock.nanos();

    /**
     * @param box id of the box that owns the cell
     * @param ownerRevision revision of the owner's key; also the fencing token
     * @param storeLease id of the store's lease that the key is tied to
     * @param previousFence fencing token of the previous term, or {@link #UNKNOWN_FENCE}
     * @param sentNanos monotonic time at which the call was sent whose answer showed the owner's key
     */
    OwnerLease(String box, long ownerRevision, long storeLease, long previousFence, long sentNanos)
    {
        this.previousFence = previousFence;
        this.box = box;
        this.ownerRevision = ownerRevision;
        this.storeLease = storeLease;
        this.confirmedNanos = new AtomicLong(sentNanos);
        this.vouchedNanos = new AtomicLong(sentNanos);
    }

    /** Ends the term. Only the first reason is kept. */
    void end(String reason)
    {
        endReason.compareAndSet(null, reason);
        ended.countDown();
    }

    /**
     * Records that the store has confirmed the term, that is, answered with the owner's key. The
     * confirmation counts from when its call was sent: the process may have been paused before it read
     * the answer, and another box may have become the owner meanwhile. Answers may be read in any
     * order.
     *
     * @param sentNanos monotonic time at which the call was sent
     */
    void recordConfirmation(long sentNanos)
    {
        confirmedNanos.accumulateAndGet(sentNanos, OwnerLease::later);
    }

    /**
     * Records that a witness has vouched for the term.
     *
     * @param sentNanos monotonic time at which the witness was asked
     */
    void recordVouch(long sentNanos)
    {
        vouchedNanos.accumulateAndGet(sentNanos, OwnerLease::later);
    }

    /** Sets whether leases may be renewed without witness for as long as commands may be sent. */
    void setUnwitnessed(boolean value)
    {
        unwitnessed = value;
    }

    /**
     * Returns the monotonic time from which leases of workers that are granted now count: the latest
     * time at which no other box owned the cell, by the word of the store or of a witness. An owner
     * that was paused or is cut off thus can't extend leases, whatever it sends.
     */
    long leaseBaseNanos()
    {
        return unwitnessed && maySendCommands()
                ? SteadyClock.nanos()
                : later(confirmedNanos.get(), vouchedNanos.get());
    }

    private static long later(long first, long second)
    {
        return second - first > 0 ? second : first;
    }

    /** Records that the store has answered a renewal of the lease. */
    void recordRenewal()
    {
        renewedNanos = SteadyClock.nanos();
    }

    /**
     * Returns whether commands may be sent, that is, whether the store has confirmed the term recently.
     */
    boolean maySendCommands()
    {
        return !hasEnded() && SteadyClock.nanos() - confirmedNanos.get() < MAX_UNCONFIRMED_NANOS;
    }

    /** Returns the time since the last call that confirmed the term was sent, in milliseconds. */
    long unconfirmedMillis()
    {
        return TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - confirmedNanos.get());
    }

    /**
     * Returns the time since the store last answered a renewal of the lease, in milliseconds. Tells
     * whether the store answers this box, however slowly; it says nothing about the right to send
     * commands.
     */
    long unrenewedMillis()
    {
        return TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - renewedNanos);
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
