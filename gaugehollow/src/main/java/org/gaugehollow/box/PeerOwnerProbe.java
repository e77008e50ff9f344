/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.OwnerCall;
import org.gaugehollow.peer.generated.PeerProtocol.OwnerReply;
import org.gaugehollow.schedule.OwnerElection;
import org.gaugehollow.schedule.OwnerMonitor;
import org.gaugehollow.schedule.OwnerProbe;
import org.gaugehollow.schedule.TimedBacklog;
import org.gaugehollow.time.SteadyClock;

/** Probes registered boxes for the state of the owner, and answers such probes. */
final class PeerOwnerProbe implements OwnerProbe
{
    private static final int NETWORK_MARGIN_MILLIS = 300;

    private final BoxRegistry registry;
    private final BacklogListener backlogListener;

    /** Notified of the owner's account of the waiting work. */
    @FunctionalInterface
    interface BacklogListener
    {
        /** Handles a reply of the owner; without an account, no work waits. */
        void onBacklog(TimedBacklog backlog);
    }

    PeerOwnerProbe(BoxRegistry registry, BacklogListener backlogListener)
    {
        this.registry = registry;
        this.backlogListener = backlogListener;
    }

    @Override
    public Set<String> peers()
    {
        return registry.peers();
    }

    /**
     * Probes a box. A probe without a reply is repeated once, over a new connection if the first one
     * may have gone silent, because a living owner must not be replaced for a lost connection.
     */
    @Override
    public Result probe(String box, String owner, int waitMillis) throws InterruptedException
    {
        Result result = probeOnce(box, owner, waitMillis);
        return result.reached() ? result : probeOnce(box, owner, 0);
    }

    private Result probeOnce(String box, String owner, int waitMillis) throws InterruptedException
    {
        OwnerCall.Builder call = OwnerCall.newBuilder().setOwner(owner).setWaitMillis(waitMillis);
        long sentNanos = SteadyClock.nanos();
        Optional<OwnerReply> reply = registry
                .call(box, Frame.newBuilder().setOwner(call), waitMillis + NETWORK_MARGIN_MILLIS)
                .map(Frame::getOwnerReply);
        reply.filter(OwnerReply::getIsOwner).ifPresent(answer -> backlogListener.onBacklog(
                BacklogCodec.read(answer, owner, sentNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis))));
        return reply.map(PeerOwnerProbe::toResult).orElse(Result.UNREACHED);
    }

    private static Result toResult(OwnerReply reply)
    {
        return new Result(true, reply.getIsOwner(), reply.getUnconfirmedMillis(), reply.getSilent());
    }

    /** Handles a peer's probe; a reply as owner is delayed by the requested time. */
    static Frame.Builder handle(OwnerCall call, String box, OwnerElection election, OwnerMonitor monitor)
            throws InterruptedException
    {
        boolean isOwner = box.equals(call.getOwner()) && election.isOwner();
        if (isOwner)
        {
            Thread.sleep(call.getWaitMillis());
        }
        OwnerReply.Builder reply = OwnerReply.newBuilder().setIsOwner(isOwner)
                .setUnconfirmedMillis(election.unrenewedMillis())
                .setSilent(monitor.isOwnerUnresponsive(call.getOwner()));
        if (isOwner)
        {
            BacklogCodec.write(election.status().backlog(), SteadyClock.nanos()).ifPresent(reply::setBacklog);
        }
        return Frame.newBuilder().setOwnerReply(reply);
    }
}
