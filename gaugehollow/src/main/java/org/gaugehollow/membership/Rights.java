/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells whether this box may use what the assignment map assigns to it. The right is based on a
 * lease renewed in the store and ends on the local clock before the store lets another box take
 * over. During a store outage, a majority of the boxes of the map can extend it. Thread-safe.
 */
public final class Rights
{
    private final long leaseNanos;
    private final long confirmationNanos;
    private final LongSupplier nanoTime;
    private boolean registered;
    private long renewalSentAt;
    private long leaseUntil;
    private long quorumUntil;

    /**
     * @param leaseMillis the time in milliseconds for which a renewal is valid, less the safety margin
     * @param confirmationMillis the time in milliseconds for which a peer confirmation is valid
     * @param nanoTime a monotonic clock in nanoseconds
     */
    public Rights(long leaseMillis, long confirmationMillis, LongSupplier nanoTime)
    {
        this.leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
        this.confirmationNanos = TimeUnit.MILLISECONDS.toNanos(confirmationMillis);
        this.nanoTime = nanoTime;
        this.leaseUntil = nanoTime.getAsLong();
        this.quorumUntil = leaseUntil;
    }

    /** @return whether this box may place and dispatch requests */
    public synchronized boolean isValid()
    {
        long now = nanoTime.getAsLong();
        return leaseUntil - now > 0 || quorumUntil - now > 0;
    }

    /** @return whether the right is based on peer confirmations only */
    public synchronized boolean isFrozen()
    {
        long now = nanoTime.getAsLong();
        return leaseUntil - now <= 0 && quorumUntil - now > 0;
    }

    /**
     * Records a renewal of the lease by the store.
     *
     * @param sentAt the send time of the renewal call, on the monotonic clock
     */
    public synchronized void renew(long sentAt)
    {
        registered = true;
        renewalSentAt = sentAt;
        leaseUntil = sentAt + leaseNanos;
    }

    /**
     * Suspends the right after a pause of the process until the store or the peers confirm it again.
     */
    public synchronized void suspend()
    {
        leaseUntil = nanoTime.getAsLong();
        quorumUntil = leaseUntil;
    }

    /**
     * Revokes the right after loss of the lease or of a reliable clock. Only a lease renewal restores
     * it.
     */
    public synchronized void revoke()
    {
        registered = false;
        leaseUntil = nanoTime.getAsLong();
        quorumUntil = leaseUntil;
    }

    /**
     * Returns whether a store contact at the given time confirms the right of this box. If the store
     * last answered before the lease could expire, no box can have seen it expired.
     *
     * @param storeAnsweredAt the latest possible time of the newest known store contact, on the
     *            monotonic clock
     * @return whether the contact confirms the right
     */
    public synchronized boolean isConfirmedBy(long storeAnsweredAt)
    {
        return registered && storeAnsweredAt - (renewalSentAt + leaseNanos) <= 0;
    }

    /**
     * Extends the right if a majority of the boxes of the map confirmed it.
     *
     * @param confirmedAt the ping send time for each confirming box, including this one
     * @param majority the number of confirmations required
     */
    public synchronized void extendByQuorum(List<Long> confirmedAt, int majority)
    {
        if (!registered || confirmedAt.size() < majority)
        {
            return;
        }
        long now = nanoTime.getAsLong();
        List<Long> newestFirst = confirmedAt.stream().sorted((a, b) -> Long.compare(b - now, a - now))
                .toList();
        long until = newestFirst.get(majority - 1) + confirmationNanos;
        if (until - quorumUntil > 0)
        {
            quorumUntil = until;
        }
    }
}
