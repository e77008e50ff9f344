/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.Optional;
import java.util.OptionalLong;

import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;

/** The state of one peer as seen in its ping replies. Thread-safe. */
public final class PeerView
{
    private BoxStatus status;
    private boolean reachable;
    private long repliedPingSentAt;
    private boolean confirmed;
    private long confirmedPingSentAt;

    /**
     * Records a ping reply.
     *
     * @param sentAt the send time of the ping, on the steady clock
     * @param newStatus the status that the peer reported
     * @param confirmsRights whether the reply confirms the rights of this box
     */
    synchronized void onReply(long sentAt, BoxStatus newStatus, boolean confirmsRights)
    {
        status = newStatus;
        reachable = true;
        repliedPingSentAt = sentAt;
        if (confirmsRights)
        {
            confirmed = true;
            confirmedPingSentAt = sentAt;
        }
    }

    /** Records a ping that was not answered. */
    synchronized void onFailure()
    {
        reachable = false;
    }

    /** @return whether the last ping was answered */
    public synchronized boolean isReachable()
    {
        return reachable;
    }

    /** @return the last reported status, or empty if the peer never answered */
    public synchronized Optional<BoxStatus> status()
    {
        return Optional.ofNullable(status);
    }

    /** @return the send time of the last answered ping, or empty if none was answered */
    public synchronized OptionalLong repliedPingSentAt()
    {
        return status == null ? OptionalLong.empty() : OptionalLong.of(repliedPingSentAt);
    }

    /**
     * @return the send time of the last ping whose reply confirmed the rights of this box, or empty if
     *         there is none
     */
    public synchronized OptionalLong confirmedPingSentAt()
    {
        return confirmed ? OptionalLong.of(confirmedPingSentAt) : OptionalLong.empty();
    }
}
