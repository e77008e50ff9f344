/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Whether this box may use what the hall's map says is its own. The right comes from a lease that
 * the store renewed, and ends on the box's own clock before the store would let another box take
 * over. While the store answers nobody, the word of a majority of the map's boxes extends it.
 * Thread-safe.
 */
public final class Rights
{
    private final long leaseNanos;
    private final long witnessNanos;
    private final LongSupplier nanoTime;
    private boolean registered;
    private long renewalSentAt;
    private long leaseUntil;
    private long witnessUntil;

    /**
     * @param leaseMillis how long a renewal is good for, the safety margin taken off
     * @param witnessMillis how long a peer's word is good for
     * @param nanoTime a monotonic clock
     */
    public Rights(long leaseMillis, long witnessMillis, LongSupplier nanoTime)
    {
        this.leaseNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
        this.witnessNanos = TimeUnit.MILLISECONDS.toNanos(witnessMillis);
        this.nanoTime = nanoTime;
        this.leaseUntil = nanoTime.getAsLong();
        this.witnessUntil = leaseUntil;
    }

    /** @return whether this box may place and dispatch at this moment */
    public synchronized boolean isValid()
    {
        long now = nanoTime.getAsLong();
        return leaseUntil - now > 0 || witnessUntil - now > 0;
    }

    /** @return whether the right rests on the word of peers alone */
    public synchronized boolean isFrozen()
    {
        long now = nanoTime.getAsLong();
        return leaseUntil - now <= 0 && witnessUntil - now > 0;
    }

    /**
     * @param sentAt when the renewal that the store confirmed was sent, on the monotonic clock
     */
    public synchronized void renew(long sentAt)
    {
        registered = true;
        renewalSentAt = sentAt;
        leaseUntil = sentAt + leaseNanos;
    }

    /**
     * The process did not run for a while: what it held is put aside until the store or the peers
     * confirm it anew.
     */
    public synchronized void suspend()
    {
        leaseUntil = nanoTime.getAsLong();
        witnessUntil = leaseUntil;
    }

    /**
     * The store no longer knows the lease, or the clock cannot be trusted: nothing counts until it is
     * renewed.
     */
    public synchronized void revoke()
    {
        registered = false;
        leaseUntil = nanoTime.getAsLong();
        witnessUntil = leaseUntil;
    }

    /**
     * Whether a word that the store last answered anyone at the given time vouches for this box: nobody
     * can have seen this box's lease lapse if the store fell silent before it could.
     *
     * @param storeAnsweredAt the newest answer known, on the monotonic clock, at the latest
     * @return whether it does
     */
    public synchronized boolean isConfirmedBy(long storeAnsweredAt)
    {
        return registered && storeAnsweredAt - (renewalSentAt + leaseNanos) <= 0;
    }

    /**
     * Extends the right by the word of the map's boxes.
     *
     * @param vouchedAt when each box that vouches was last asked, this box included
     * @param majority how many are needed
     */
    public synchronized void extendByQuorum(List<Long> vouchedAt, int majority)
    {
        if (!registered || vouchedAt.size() < majority)
        {
            return;
        }
        long now = nanoTime.getAsLong();
        List<Long> youngestFirst = vouchedAt.stream().sorted((a, b) -> Long.compare(b - now, a - now))
                .toList();
        long until = youngestFirst.get(majority - 1) + witnessNanos;
        if (until - witnessUntil > 0)
        {
            witnessUntil = until;
        }
    }
}
