/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.JobNotice;
import org.gaugehollow.peer.generated.PeerProtocol.JobNoticeReply;
import org.gaugehollow.schedule.OwnerElection;

/**
 * Notifies the cell's owner of jobs that this box accepted or cancelled. Delivery is best effort:
 * the owner also watches the store, but learns of jobs sooner this way while its watch is delayed.
 */
final class PeerJobNotice implements JobListener
{
    private static final int TIMEOUT_MILLIS = 300;

    private final BoxRegistry registry;
    private final OwnerElection election;

    PeerJobNotice(BoxRegistry registry, OwnerElection election)
    {
        this.registry = registry;
        this.election = election;
    }

    @Override
    public void onJobWritten(String job)
    {
        if (election.isOwner())
        {
            election.onJobWritten(job);
            return;
        }
        sendInBackground(JobNotice.newBuilder().setJob(job));
    }

    @Override
    public void onJobCancelled(String job)
    {
        if (election.isOwner())
        {
            election.onJobCancelled(job);
            return;
        }
        sendInBackground(JobNotice.newBuilder().setJob(job).setCancelled(true));
    }

    private void sendInBackground(JobNotice.Builder notice)
    {
        Thread.ofVirtual().name("notice-" + notice.getJob()).start(() -> send(notice));
    }

    private void send(JobNotice.Builder notice)
    {
        Frame.Builder call = Frame.newBuilder().setJobNotice(notice);
        try
        {
            registry.call(election.owner(), call, TIMEOUT_MILLIS);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    /** Handles a notice from a peer. */
    static Frame.Builder handle(JobNotice notice, OwnerElection election)
    {
        if (notice.getCancelled())
        {
            election.onJobCancelled(notice.getJob());
        }
        else
        {
            election.onJobWritten(notice.getJob());
        }
        return Frame.newBuilder().setJobNoticeReply(JobNoticeReply.getDefaultInstance());
    }
}
