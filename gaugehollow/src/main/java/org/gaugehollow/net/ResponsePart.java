/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import io.netty.handler.codec.http.HttpResponse;

/** Part of a response, or the loss of the connection, as queued by the event loop. */
sealed interface ResponsePart
{
    /** The status and headers. */
    record Head(HttpResponse response) implements ResponsePart
    {
    }

    /** A chunk of the body. */
    record Chunk(byte[] bytes, boolean last) implements ResponsePart
    {
    }

    /** The loss of the connection. */
    record ConnectionLost(String reason) implements ResponsePart
    {
    }
}
