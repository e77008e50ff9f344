/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.ConfigDelta;
import org.gaugehollow.keys.ReplicaTable;
import org.gaugehollow.membership.RosterCache;
import org.gaugehollow.membership.StateMessages;
import org.gaugehollow.membership.StoreLiveness;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.peer.PeerHandler;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.CopyReply;
import org.gaugehollow.peer.generated.PeerProtocol.ForwardCall;
import org.gaugehollow.peer.generated.PeerProtocol.ForwardReply;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.PingReply;
import org.gaugehollow.peer.generated.PeerProtocol.StateCall;
import org.gaugehollow.peer.generated.PeerProtocol.StateReply;
import org.gaugehollow.time.SteadyClock;

import com.google.protobuf.ByteString;

/** Handles the calls of peers. */
final class PeerCallHandler implements PeerHandler
{
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private final Supplier<BoxStatus> ownStatus;
    private final StoreLiveness storeLiveness;
    private final ConfigCache config;
    private final RosterCache roster;
    private final ReplicaTable replicas;
    private final RequestRouter router;
    private final AtomicInteger inFlight = new AtomicInteger();

    PeerCallHandler(Supplier<BoxStatus> ownStatus, StoreLiveness storeLiveness, ConfigCache config,
            RosterCache roster, ReplicaTable replicas, RequestRouter router)
    {
        this.ownStatus = ownStatus;
        this.storeLiveness = storeLiveness;
        this.config = config;
        this.roster = roster;
        this.replicas = replicas;
        this.router = router;
    }

    /** @return the number of forwarded requests in progress */
    int inFlight()
    {
        return inFlight.get();
    }

    @Override
    public Frame.Builder handle(Frame call) throws InterruptedException
    {
        return switch (call.getBodyCase())
        {
            case PING -> ping(call.getPing().getStatus());
            case FORWARD -> forward(call.getForward());
            case COPY -> Frame.newBuilder()
                    .setCopyReply(CopyReply.newBuilder().setAccepted(replicas.applyCopy(call.getCopy())));
            case STATE -> state(call.getState());
            default -> throw new GaugehollowException(ResultCode.PEER_BAD_CALL,
                    "unsupported call: " + call.getBodyCase());
        };
    }

    private Frame.Builder ping(BoxStatus sender)
    {
        storeLiveness.merge(StateMessages.contactOf(sender));
        return Frame.newBuilder().setPingReply(PingReply.newBuilder().setStatus(ownStatus.get()));
    }

    private Frame.Builder forward(ForwardCall call) throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(call.getRemainingMillis());
        String contentType = call.getContentType().isEmpty() ? DEFAULT_CONTENT_TYPE : call.getContentType();
        CallerRequest request = new CallerRequest(call.getTask(), call.getTeam(), call.getWorkload(),
                call.getKey(), call.getKeyIssuedAt(), deadline, contentType, call.getBody().toByteArray(),
                call.getHops(), false);
        inFlight.incrementAndGet();
        try
        {
            Answer answer = router.routeForwarded(request, call.getPlaceOnly());
            return Frame.newBuilder().setForwardReply(ForwardReply.newBuilder().setAnswer(answer));
        }
        finally
        {
            inFlight.decrementAndGet();
        }
    }

    private Frame.Builder state(StateCall call)
    {
        ConfigDelta delta = config.deltaSince(call.getConfigRevision());
        StateReply.Builder reply = StateMessages.replyOf(delta);
        if (roster.version() > call.getRosterVersion())
        {
            reply.setRosterVersion(roster.version()).setRoster(ByteString.copyFrom(roster.encoded()));
        }
        return Frame.newBuilder().setStateReply(reply);
    }
}
