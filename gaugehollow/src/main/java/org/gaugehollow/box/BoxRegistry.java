/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.schedule.AdviceLines;
import org.gaugehollow.supervise.SupervisedTask;

/** Registers this box in the store under a lease and knows the other boxes that are registered. */
final class BoxRegistry implements SupervisedTask, KeyFollower.Listener
{
    private static final int LEASE_MILLIS = 3_000;
    private static final int RENEW_MILLIS = 1_000;
    private static final int RETRY_MILLIS = 200;

    private final String box;
    private final String peerAddress;
    private final PlatformStore store;
    private final PeerDirectory directory;
    private final AdviceLines lines;
    private final EventLog events;
    private final Map<String, Registration> registrations = new ConcurrentHashMap<>();

    /** Where a box is reached, and at which revision it registered. */
    private record Registration(String address, long revision)
    {
    }

    BoxRegistry(String box, String peerAddress, PlatformStore store, PeerDirectory directory,
            AdviceLines lines, EventLog events)
    {
        this.box = box;
        this.peerAddress = peerAddress;
        this.store = store;
        this.directory = directory;
        this.lines = lines;
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            try
            {
                long lease = store.grantLease(LEASE_MILLIS);
                store.commit(new StoreTransaction().put(JobKeys.BOXES + box,
                        peerAddress.getBytes(StandardCharsets.UTF_8), lease));
                renew(lease);
            }
            catch (GaugehollowException e)
            {
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    private void renew(long lease) throws InterruptedException
    {
        while (store.renewLease(lease))
        {
            Thread.sleep(RENEW_MILLIS);
        }
        events.record(EventType.LEASE_LOST, box, "registration");
    }

    @Override
    public void put(String key, byte[] value, long revision)
    {
        String peer = key.substring(JobKeys.BOXES.length());
        String address = new String(value, StandardCharsets.UTF_8);
        if (peer.equals(box) || address.equals(peerAddress))
        {
            return;
        }
        if (!registrations.containsKey(peer) && !isEarlierLife(address, revision))
        {
            dropEarlierLives(address);
            registrations.put(peer, new Registration(address, revision));
            events.record(EventType.PEER_CONNECTED, peer, "registered at " + address);
            lines.add(peer, new PeerAdvice(directory.link(address)));
        }
    }

    /**
     * Whether a later life of the box is known; the registration of one that died lapses only later.
     */
    private boolean isEarlierLife(String address, long revision)
    {
        return registrations.values().stream()
                .anyMatch(known -> known.address().equals(address) && known.revision() > revision);
    }

    /**
     * A box that starts again has a new id at the same address; the link to its life before is of no
     * use.
     */
    private void dropEarlierLives(String address)
    {
        for (Map.Entry<String, Registration> entry : registrations.entrySet())
        {
            if (entry.getValue().address().equals(address))
            {
                drop(entry.getKey(), "another life registered at " + address);
            }
        }
    }

    private void drop(String peer, String why)
    {
        Registration registration = registrations.remove(peer);
        if (registration != null)
        {
            events.record(EventType.PEER_LOST, peer, why);
            lines.remove(peer);
            directory.drop(registration.address());
        }
    }

    @Override
    public void removed(String key, long revision)
    {
        String peer = key.substring(JobKeys.BOXES.length());
        drop(peer, "no longer registered at revision " + revision);
    }

    /** The ids of the other registered boxes. */
    Set<String> peers()
    {
        return Set.copyOf(registrations.keySet());
    }

    /** The link to a registered box. */
    Optional<PeerLink> link(String peer)
    {
        return Optional.ofNullable(registrations.get(peer)).map(Registration::address).map(directory::link);
    }

    /** The other registered boxes, as ways for callers' requests. */
    Map<String, CallerRelay.Peer> relayPeers()
    {
        Map<String, CallerRelay.Peer> peers = new HashMap<>();
        registrations
                .forEach((peer, known) -> peers.put(peer, new RelayPeer(directory.link(known.address()))));
        return peers;
    }

    @Override
    public void listed(long revision)
    {
        // a box that is known already stays known
    }
}
