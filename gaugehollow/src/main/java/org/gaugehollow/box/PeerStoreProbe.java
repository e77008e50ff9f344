/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.StoreCall;
import org.gaugehollow.peer.generated.PeerProtocol.StoreReply;
import org.gaugehollow.platform.MonitoredStore;

/** Probes registered boxes for store access, and answers such probes. */
final class PeerStoreProbe implements StorePeerFinder.StoreProbe
{
    private static final int TIMEOUT_MILLIS = 300;

    private final BoxRegistry registry;

    PeerStoreProbe(BoxRegistry registry)
    {
        this.registry = registry;
    }

    @Override
    public boolean hasStoreAccess(String peer) throws InterruptedException
    {
        Frame.Builder call = Frame.newBuilder().setStore(StoreCall.getDefaultInstance());
        return registry.call(peer, call, TIMEOUT_MILLIS).map(Frame::getStoreReply).map(StoreReply::getAnswers)
                .orElse(false);
    }

    /** Handles a peer's probe. */
    static Frame.Builder handle(MonitoredStore store)
    {
        return Frame.newBuilder().setStoreReply(StoreReply.newBuilder().setAnswers(store.isStable()));
    }
}
