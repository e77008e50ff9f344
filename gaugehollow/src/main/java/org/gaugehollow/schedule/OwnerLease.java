/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.time.SteadyClock;

/** One term of a box as the cell's owner, from the write of the owner's key until it ends. */
final class OwnerLease
{
    /**
     * How long an owner goes on while the store does not answer it. Another owner counts on it when it
     * waits for runs on workers that it cannot reach.
     */
    static final long LONGEST_SILENCE_NANOS = 8_000_000_000L;

    /** No term is known. */
    static final long UNKNOWN_FENCE = 0;

    private final String box;
    private final long ownerRevision;
    private final long storeLease;
    private final long previousFence;
    private final CountDownLatch over = new CountDownLatch(1);
    private final AtomicReference<String> reason = new AtomicReference<>();
    private volatile long contactNanos = SteadyClock.nanos();

    /**
     * @param box the box that owns the cell
     * @param ownerRevision the revision of the owner's key; also the fencing token
     * @param storeLease the store's lease that the key is tied to
     * @param previousFence the fencing token of the term just before, or {@link #UNKNOWN_FENCE}
     */
    OwnerLease(String box, long ownerRevision, long storeLease, long previousFence)
    {
        this.previousFence = previousFence;
        this.box = box;
        this.ownerRevision = ownerRevision;
        this.storeLease = storeLease;
    }

    /** Ends the term; only the first reason counts. */
    void end(String why)
    {
        reason.compareAndSet(null, why);
        over.countDown();
    }

    /** The store has just confirmed the term. */
    void recordConfirmation()
    {
        contactNanos = SteadyClock.nanos();
    }

    /** Whether orders may be sent: the store has confirmed the term not too long ago. */
    boolean maySendCommands()
    {
        return !hasEnded() && SteadyClock.nanos() - contactNanos < LONGEST_SILENCE_NANOS;
    }

    /** How long ago the store confirmed the term, in milliseconds. */
    long unconfirmedMillis()
    {
        return TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - contactNanos);
    }

    boolean hasEnded()
    {
        return over.getCount() == 0;
    }

    /** Waits until the term is over; false if it goes on. */
    boolean awaitEnd(long millis) throws InterruptedException
    {
        return over.await(millis, TimeUnit.MILLISECONDS);
    }

    String reason()
    {
        return reason.get();
    }

    String box()
    {
        return box;
    }

    long ownerRevision()
    {
        return ownerRevision;
    }

    /** The token that workers compare; rises from owner to owner. */
    long fence()
    {
        return ownerRevision;
    }

    long storeLease()
    {
        return storeLease;
    }

    /** The token of the term just before this one, or {@link #UNKNOWN_FENCE}. */
    long previousFence()
    {
        return previousFence;
    }
}
