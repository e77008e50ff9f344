/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;

/** Answers callers' requests; an adapter implements it in the protocol of its callers. */
@FunctionalInterface
public interface CallerService
{
    /**
     * @param request a caller's whole request
     * @return the answer
     * @throws InterruptedException if the process stops
     * @throws org.gaugehollow.model.GaugehollowException with the code of a refusal
     */
    HttpReply answer(HttpMessage request) throws InterruptedException;
}
