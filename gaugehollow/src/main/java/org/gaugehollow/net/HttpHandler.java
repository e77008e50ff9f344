/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

/** Handles the requests of one server. Called on the connection's virtual thread, one at a time. */
@FunctionalInterface
public interface HttpHandler
{
    /**
     * Handles a request and sends a reply or a stream.
     *
     * @param exchange the request and the means to respond to it
     * @throws InterruptedException if the thread is interrupted
     */
    void handle(HttpExchange exchange) throws InterruptedException;
}
