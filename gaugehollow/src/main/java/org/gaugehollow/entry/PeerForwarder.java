/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.peer.generated.PeerProtocol.ForwardCall;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;

import com.google.protobuf.ByteString;

/** Passes requests to peers and brings their answers back. */
final class PeerForwarder
{
    private static final long REPLY_GRACE_MILLIS = 50;

    private final RequestSupport support;

    PeerForwarder(RequestSupport support)
    {
        this.support = support;
    }

    /**
     * Passes a request on.
     *
     * @param address the peer's address
     * @param request the request
     * @param placeOnly whether the peer is to run it on its own workers at once or say "not run"
     * @return the peer's answer, or what is known if the peer was lost
     * @throws InterruptedException if the process stops
     */
    Answer forward(String address, CallerRequest request, boolean placeOnly) throws InterruptedException
    {
        support.events().record(EventType.TASK_FORWARDED, request.task(), address);
        ForwardCall.Builder call = ForwardCall.newBuilder().setTask(request.task()).setTeam(request.team())
                .setWorkload(request.workload()).setKey(request.key()).setKeyIssuedAt(request.keyIssuedAt())
                .setRemainingMillis(request.remainingMillis()).setBody(ByteString.copyFrom(request.body()))
                .setContentType(request.contentType()).setHops(request.hops() + 1).setPlaceOnly(placeOnly);
        PeerLink link = support.directory().link(address);
        try
        {
            long timeoutMillis = request.remainingMillis() + REPLY_GRACE_MILLIS;
            return link.call(Frame.newBuilder().setForward(call), timeoutMillis).getForwardReply()
                    .getAnswer();
        }
        catch (GaugehollowException e)
        {
            return Answers.rejected(toForwardFailure(e), request.task(), support.self().id());
        }
    }

    /** A fault that the peer itself reports without an outcome leaves open whether the request ran. */
    private static GaugehollowException toForwardFailure(GaugehollowException e)
    {
        boolean outcomeKnown = e.code() == ResultCode.PEER_UNREACHABLE || e.code() == ResultCode.PEER_LOST
                || e.code() == ResultCode.QUEUE_FULL;
        return outcomeKnown ? e : new GaugehollowException(ResultCode.PEER_LOST, e.getMessage(), e);
    }
}
