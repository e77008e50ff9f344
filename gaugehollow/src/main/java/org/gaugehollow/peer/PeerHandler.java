/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import org.gaugehollow.peer.generated.PeerProtocol.Frame;

/** Handles calls from peers. Each call runs on its own virtual thread. */
@FunctionalInterface
public interface PeerHandler
{
    /**
     * Handles a call.
     *
     * @param call the call
     * @return the reply; the server sets its call id
     * @throws InterruptedException if the process stops
     */
    Frame.Builder handle(Frame call) throws InterruptedException;
}
