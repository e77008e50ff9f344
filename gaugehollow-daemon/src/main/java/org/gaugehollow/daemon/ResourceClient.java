/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Optional;

import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;

import com.fasterxml.jackson.databind.JsonNode;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Changes resources through a box, conditional on their current revision. */
final class ResourceClient
{
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int NOT_FOUND = 404;

    private final HttpCaller caller;

    ResourceClient(HttpCaller caller)
    {
        this.caller = caller;
    }

    /** Creates the resource or updates it at its current revision. */
    HttpReply apply(ResourceFile resource) throws InterruptedException
    {
        Optional<Long> revision = fetchRevision(resource.path());
        return send("PUT", resource.path(), revision, Json.write(resource.spec()));
    }

    /** Deletes the resource at its current revision. */
    HttpReply delete(String path) throws InterruptedException
    {
        return send("DELETE", path, fetchRevision(path), new byte[0]);
    }

    private Optional<Long> fetchRevision(String path) throws InterruptedException
    {
        HttpReply reply = Replies.call(caller, "GET", path, new byte[0]);
        if (reply.status() == NOT_FOUND || Replies.isError(reply))
        {
            return Optional.empty();
        }
        JsonNode view = Json.read(reply.body(), JsonNode.class, ResultCode.STORE_BAD_ANSWER);
        return Optional.of(view.path("revision").asLong());
    }

    private HttpReply send(String method, String path, Optional<Long> revision, byte[] body)
            throws InterruptedException
    {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpReply.JSON_TYPE);
        revision.ifPresent(r -> headers.set(HttpHeaderNames.IF_MATCH, "\"" + r + '"'));
        return caller.call(new HttpMessage(method, path, "", headers, body), TIMEOUT_MILLIS);
    }
}
