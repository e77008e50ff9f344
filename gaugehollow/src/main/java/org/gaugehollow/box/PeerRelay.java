/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.RelayCall;
import org.gaugehollow.peer.generated.PeerProtocol.RelayHeader;
import org.gaugehollow.peer.generated.PeerProtocol.RelayReply;

import com.google.protobuf.ByteString;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Relays callers' requests to a peer, and handles requests that peers relay to this box. */
final class PeerRelay implements CallerRelay.Peer
{
    private static final int TIMEOUT_MILLIS = 800;

    private final PeerLink link;

    PeerRelay(PeerLink link)
    {
        this.link = link;
    }

    @Override
    public HttpReply answer(HttpMessage request) throws InterruptedException
    {
        RelayCall.Builder call = RelayCall.newBuilder().setMethod(request.method()).setPath(request.path())
                .setQuery(request.query()).setBody(ByteString.copyFrom(request.body()));
        request.headers().forEach(header -> call
                .addHeaders(RelayHeader.newBuilder().setName(header.getKey()).setValue(header.getValue())));
        RelayReply reply = link.call(Frame.newBuilder().setRelay(call), TIMEOUT_MILLIS).getRelayReply();
        return HttpReply.of(reply.getStatus(), reply.getContentType(), reply.getBody().toByteArray());
    }

    /** Handles a relayed request locally; it is never relayed again. */
    static Frame.Builder handle(RelayCall call, CallerService service) throws InterruptedException
    {
        HttpHeaders headers = new DefaultHttpHeaders();
        call.getHeadersList().forEach(header -> headers.add(header.getName(), header.getValue()));
        HttpMessage request = new HttpMessage(call.getMethod(), call.getPath(), call.getQuery(), headers,
                call.getBody().toByteArray());
        HttpReply reply = service.answer(request);
        String type = reply.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        return Frame.newBuilder().setRelayReply(RelayReply.newBuilder().setStatus(reply.status())
                .setContentType(type).setBody(ByteString.copyFrom(reply.body())));
    }
}
