/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;

/** Holds one link for each peer address, created on first use. Thread-safe. */
public final class PeerDirectory implements AutoCloseable
{
    private final NetLoops loops;
    private final EventLog events;
    private final Metrics metrics;
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

    /**
     * @param loops the event loops
     * @param events the event log whose clock stamps calls
     * @param metrics the metrics for sent bytes
     */
    public PeerDirectory(NetLoops loops, EventLog events, Metrics metrics)
    {
        this.loops = loops;
        this.events = events;
        this.metrics = metrics;
    }

    /**
     * @param address the address of a peer
     * @return the link to the peer
     */
    public PeerLink link(String address)
    {
        return links.computeIfAbsent(address, a -> new PeerLink(loops, NetAddress.parse(a), events, metrics));
    }

    /**
     * Closes and removes the link to a peer.
     *
     * @param address the address of the peer
     */
    public void drop(String address)
    {
        PeerLink link = links.remove(address);
        if (link != null)
        {
            link.close();
        }
    }

    @Override
    public void close()
    {
        links.values().forEach(PeerLink::close);
    }
}
