/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import org.gaugehollow.peer.generated.PeerProtocol.Frame;

/** Answers the calls of peers. Each call runs on a virtual thread of its own. */
@FunctionalInterface
public interface PeerHandler
{
    /**
     * Answers a call.
     *
     * @param call the call
     * @return the reply's body; its call id is filled in by the server
     * @throws InterruptedException if the process stops
     */
    Frame.Builder handle(Frame call) throws InterruptedException;
}
