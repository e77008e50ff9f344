/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

/**
 * Answers the requests of one port. Called on the connection's virtual thread, one request at a
 * time.
 */
@FunctionalInterface
public interface HttpHandler
{
    /**
     * Answers a request, by a reply or by a stream.
     *
     * @param exchange the request and the way back
     * @throws InterruptedException if the process stops
     */
    void handle(HttpExchange exchange) throws InterruptedException;
}
