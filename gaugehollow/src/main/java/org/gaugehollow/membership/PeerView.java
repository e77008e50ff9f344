/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.Optional;
import java.util.OptionalLong;

import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;

/** What this box knows of one peer from its pings. Thread-safe. */
public final class PeerView
{
    private BoxStatus status;
    private boolean reachable;
    private long repliedPingSentAt;
    private boolean vouches;
    private long vouchedPingSentAt;

    /**
     * A ping was answered.
     *
     * @param sentAt when it was sent
     * @param newStatus what the peer says
     * @param vouching whether it vouches for this box's rights
     */
    synchronized void replied(long sentAt, BoxStatus newStatus, boolean vouching)
    {
        status = newStatus;
        reachable = true;
        repliedPingSentAt = sentAt;
        if (vouching)
        {
            vouches = true;
            vouchedPingSentAt = sentAt;
        }
    }

    /** A ping was not answered. */
    synchronized void failed()
    {
        reachable = false;
    }

    /** @return whether the last ping was answered */
    public synchronized boolean isReachable()
    {
        return reachable;
    }

    /** @return what the peer said last, if it ever answered */
    public synchronized Optional<BoxStatus> status()
    {
        return Optional.ofNullable(status);
    }

    /** @return when the newest ping that was answered had been sent */
    public synchronized OptionalLong repliedPingSentAt()
    {
        return status == null ? OptionalLong.empty() : OptionalLong.of(repliedPingSentAt);
    }

    /** @return when the newest ping that was answered with a voucher had been sent */
    public synchronized OptionalLong confirmedPingSentAt()
    {
        return vouches ? OptionalLong.of(vouchedPingSentAt) : OptionalLong.empty();
    }
}
