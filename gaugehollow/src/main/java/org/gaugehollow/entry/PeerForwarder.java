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

/** Forwards requests to peers and returns their answers. */
final class PeerForwarder
{
    private static final long REPLY_GRACE_MILLIS = 50;

    private final RequestSupport support;

    PeerForwarder(RequestSupport support)
    {
        this.support = support;
    }

    /**
     * Forwards a request to a peer.
     *
     * @param address the address of the peer
     * @param request the request
     * @param placeOnly whether the peer may only run the request at once on its own workers
     * @return the answer of the peer, or an error if the peer did not answer
     * @throws InterruptedException if the thread is interrupted
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

    /**
     * Converts an error reply without an outcome to {@code PEER_LOST}, because the request may have
     * run.
     */
    private static GaugehollowException toForwardFailure(GaugehollowException e)
    {
        boolean keepCode = e.code() == ResultCode.PEER_UNREACHABLE || e.code() == ResultCode.PEER_LOST
                || e.code() == ResultCode.QUEUE_FULL;
        return keepCode ? e : new GaugehollowException(ResultCode.PEER_LOST, e.getMessage(), e);
    }
}
