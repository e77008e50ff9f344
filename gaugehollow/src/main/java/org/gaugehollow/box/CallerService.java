/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;

/** Answers callers' requests. Implemented by an adapter for the protocol of its callers. */
@FunctionalInterface
public interface CallerService
{
    /**
     * Answers a request.
     *
     * @param request the complete request
     * @return the reply
     * @throws InterruptedException if the thread is interrupted
     * @throws org.gaugehollow.model.GaugehollowException if the request is rejected or fails
     */
    HttpReply answer(HttpMessage request) throws InterruptedException;
}
