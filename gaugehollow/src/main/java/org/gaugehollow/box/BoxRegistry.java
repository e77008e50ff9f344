/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.schedule.AdviceDispatcher;
import org.gaugehollow.schedule.OtherBoxes;
import org.gaugehollow.schedule.PreviousTerm;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/** Registers this box in the store under a lease and tracks the other registered boxes. */
final class BoxRegistry implements SupervisedTask, KeyFollower.Listener, OtherBoxes
{
    private static final int LEASE_MILLIS = 3_000;
    private static final int RENEW_INTERVAL_MILLIS = 1_000;
    private static final int RETRY_DELAY_MILLIS = 200;
    private static final double OUTRANKING_RATIO = 1.3;
    private static final long MIN_REGISTERED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long NOT_REGISTERED = Long.MAX_VALUE;

    private final String box;
    private final Entry ownEntry;
    private final PlatformStore store;
    private final PeerDirectory directory;
    private final AdviceDispatcher adviceDispatcher;
    private final EventLog events;
    private final Map<String, Registration> registrations = new ConcurrentHashMap<>();
    private final PeerTermProbe termProbe;
    private final PeerWitnesses witnesses;
    /** Revision of the key of this box's address as last read; 0 if there was none. */
    private long addressRevision;
    private volatile long ownRevision = NOT_REGISTERED;

    /**
     * The stored registration of a box.
     *
     * @param address address for calls of other boxes
     * @param processorMillis processor capacity in thousandths of a processor
     */
    record Entry(String address, int processorMillis)
    {
        /** Rejects an address that can't be called. */
        Entry
        {
            NetAddress.parse(address);
        }
    }

    /**
     * A registered box.
     *
     * @param entry its stored registration
     * @param revision revision of the registration
     * @param knownNanos steady clock time at which this box learned of it
     */
    private record Registration(Entry entry, long revision, long knownNanos)
    {
        String address()
        {
            return entry.address();
        }
    }

    BoxRegistry(String box, Entry ownEntry, PlatformStore store, PeerDirectory directory,
            PeerTermProbe termProbe, String hall, AdviceDispatcher adviceDispatcher, EventLog events)
    {
        this.box = box;
        this.ownEntry = ownEntry;
        this.store = store;
        this.directory = directory;
        this.termProbe = termProbe;
        this.witnesses = new PeerWitnesses(ownEntry.address(), hall, directory, this::addresses,
                termProbe::listeningNanos);
        this.adviceDispatcher = adviceDispatcher;
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
                if (register(lease))
                {
                    renew(lease);
                }
            }
            catch (GaugehollowException e)
            {
                Thread.sleep(RETRY_DELAY_MILLIS);
            }
        }
    }

    /**
     * Writes the registration unless another process has registered at the same address, whose
     * registration is replaced by the next attempt. The address has a key of its own, so that
     * registrations at one address are in the order of their processes: a late one is refused, whether
     * of an earlier attempt or of a process that has ended.
     *
     * @return whether the registration is tied to the lease
     */
    private boolean register(long lease) throws InterruptedException
    {
        String addressKey = JobKeys.BOX_ADDRESSES + ownEntry.address();
        StoreTransaction transaction = new StoreTransaction().require(addressKey, addressRevision)
                .put(JobKeys.BOXES + box, Json.write(ownEntry), lease)
                .put(addressKey, Json.write(box), lease);
        boolean isRegistered = store.commit(transaction).isPresent();
        if (!isRegistered)
        {
            addressRevision = store.get(addressKey).map(StoredValue::modRevision).orElse(0L);
        }
        return isRegistered;
    }

    private void renew(long lease) throws InterruptedException
    {
        while (store.renewLease(lease))
        {
            Thread.sleep(RENEW_INTERVAL_MILLIS);
        }
        events.record(EventType.LEASE_LOST, box, "registration");
    }

    @Override
    public void onPut(String key, byte[] value, long revision)
    {
        String peer = key.substring(JobKeys.BOXES.length());
        try
        {
            add(peer, Json.read(value, Entry.class, ResultCode.STORE_BAD_ANSWER), revision);
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.PEER_BAD_CALL, peer, "invalid registration: " + e.getMessage());
        }
    }

    private void add(String peer, Entry entry, long revision)
    {
        String address = entry.address();
        if (peer.equals(box))
        {
            ownRevision = Math.min(ownRevision, revision);
            return;
        }
        if (address.equals(ownEntry.address()))
        {
            return;
        }
        if (!registrations.containsKey(peer) && !isOldIncarnation(address, revision))
        {
            removeOldIncarnations(address);
            registrations.put(peer, new Registration(entry, revision, SteadyClock.nanos()));
            events.record(EventType.PEER_CONNECTED, peer, "registered at " + address);
            adviceDispatcher.add(peer, new PeerAdvice(directory.link(address)));
        }
    }

    /**
     * Returns whether a newer incarnation at this address is known. The registration of a crashed
     * incarnation remains until its lease expires.
     */
    private boolean isOldIncarnation(String address, long revision)
    {
        return registrations.values().stream().anyMatch(
                registration -> registration.address().equals(address) && registration.revision() > revision);
    }

    /** Removes previous incarnations: a restarted box has the same address but a new id. */
    private void removeOldIncarnations(String address)
    {
        for (Map.Entry<String, Registration> entry : registrations.entrySet())
        {
            if (entry.getValue().address().equals(address))
            {
                removePeer(entry.getKey(), "a newer incarnation registered at " + address);
            }
        }
    }

    private void removePeer(String peer, String reason)
    {
        Registration registration = registrations.remove(peer);
        if (registration != null)
        {
            events.record(EventType.PEER_LOST, peer, reason);
            adviceDispatcher.remove(peer);
            directory.drop(registration.address());
        }
    }

    @Override
    public void onRemoved(String key, long revision)
    {
        String peer = key.substring(JobKeys.BOXES.length());
        removePeer(peer, "no longer registered at revision " + revision);
    }

    private List<String> addresses()
    {
        return registrations.values().stream().map(Registration::address).toList();
    }

    /** Returns the ids of the other registered boxes. */
    Set<String> peers()
    {
        return Set.copyOf(registrations.keySet());
    }

    /**
     * Returns whether a box with clearly more processor capacity than this one has been registered for
     * the minimum time.
     *
     * @param except id of a box to ignore
     */
    @Override
    public boolean isOutranked(String except)
    {
        return isAnyEstablished(except, registration -> registration.entry()
                .processorMillis() > ownEntry.processorMillis() * OUTRANKING_RATIO);
    }

    /**
     * Returns whether this box registered before another box that has at least similar processor
     * capacity and has been registered for the minimum time.
     *
     * @param except id of a box to ignore
     */
    @Override
    public boolean isLongerRunning(String except)
    {
        return isAnyEstablished(except, registration -> registration.revision() > ownRevision
                && registration.entry().processorMillis() * OUTRANKING_RATIO >= ownEntry.processorMillis());
    }

    @Override
    public PeerWitnesses witnesses()
    {
        return witnesses;
    }

    @Override
    public String ownAddress()
    {
        return ownEntry.address();
    }

    @Override
    public OptionalLong termEndNanos(PreviousTerm term) throws InterruptedException
    {
        return termProbe.endNanos(term);
    }

    private boolean isAnyEstablished(String except, Predicate<Registration> condition)
    {
        long nowNanos = SteadyClock.nanos();
        return registrations.entrySet().stream().filter(peer -> !peer.getKey().equals(except))
                .map(Map.Entry::getValue)
                .filter(registration -> nowNanos - registration.knownNanos() > MIN_REGISTERED_NANOS)
                .anyMatch(condition);
    }

    /** Calls a box; returns empty if it is not registered or does not answer in time. */
    Optional<Frame> call(String peer, Frame.Builder call, int timeoutMillis) throws InterruptedException
    {
        Registration registration = registrations.get(peer);
        if (registration == null)
        {
            return Optional.empty();
        }
        try
        {
            return Optional.of(directory.link(registration.address()).call(call, timeoutMillis));
        }
        catch (GaugehollowException e)
        {
            return Optional.empty();
        }
    }

    /** Returns the other registered boxes, by id, as peers to which requests can be relayed. */
    Map<String, CallerRelay.Peer> relayPeers()
    {
        Map<String, CallerRelay.Peer> peers = new HashMap<>();
        registrations.forEach((peer, registration) -> peers.put(peer,
                new PeerRelay(directory.link(registration.address()))));
        return peers;
    }

    @Override
    public void onListed(long revision)
    {
        // removals are reported by onRemoved
    }
}
