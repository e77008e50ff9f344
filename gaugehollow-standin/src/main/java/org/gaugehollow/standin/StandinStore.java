/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.gaugehollow.platform.StoreChange;
import org.gaugehollow.platform.StoredValue;

/** The stand-in's keys, leases and history, in memory. Thread-safe. */
public final class StandinStore
{
    private static final int HISTORY = 10_000;

    private record Held(byte[] value, long modRevision, long lease)
    {
    }

    private record Lease(long ttlNanos, long endsAt)
    {
    }

    private final LongSupplier nanoTime;
    private final NavigableMap<String, Held> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<StoreChange> history = new ArrayDeque<>();
    private long revision = 1;
    private long historyFloor = 1;
    private long lastLease = 1_000;

    /**
     * @param nanoTime a monotonic clock
     */
    public StandinStore(LongSupplier nanoTime)
    {
        this.nanoTime = nanoTime;
    }

    /** @return the revision of the newest write */
    public synchronized long revision()
    {
        return revision;
    }

    /**
     * @param from the first key
     * @param end the key after the last one; only the first key is read if it is absent
     * @return the keys' values
     */
    public synchronized List<StoredValue> range(String from, Optional<String> end)
    {
        endLapsedLeases();
        List<StoredValue> values = new ArrayList<>();
        NavigableMap<String, Held> part = end.map(e -> keys.subMap(from, true, e, false))
                .orElseGet(() -> keys.subMap(from, true, from, true));
        part.forEach((key, held) -> values.add(new StoredValue(key, held.value, held.modRevision)));
        return values;
    }

    /**
     * A write of a transaction.
     *
     * @param key the key
     * @param value its value; null removes the key
     * @param lease the lease it is tied to, or 0
     */
    public record Write(String key, byte[] value, long lease)
    {
    }

    /**
     * Applies all writes at one revision if every key has the revision given for it.
     *
     * @param required the revision that each key must have, 0 where it must not be there
     * @param writes what is written
     * @return whether it was applied
     */
    public synchronized boolean commit(Map<String, Long> required, List<Write> writes)
    {
        endLapsedLeases();
        for (Map.Entry<String, Long> condition : required.entrySet())
        {
            Held held = keys.get(condition.getKey());
            if ((held == null ? 0 : held.modRevision) != condition.getValue())
            {
                return false;
            }
        }
        for (Write write : writes)
        {
            if (write.lease != 0 && !leases.containsKey(write.lease))
            {
                return false;
            }
        }
        revision++;
        writes.forEach(this::apply);
        notifyAll();
        return true;
    }

    private void apply(Write write)
    {
        if (write.value == null)
        {
            if (keys.remove(write.key) != null)
            {
                remember(new StoreChange(write.key, new byte[0], revision, true));
            }
            return;
        }
        keys.put(write.key, new Held(write.value, revision, write.lease));
        remember(new StoreChange(write.key, write.value, revision, false));
    }

    private void remember(StoreChange change)
    {
        history.addLast(change);
        if (history.size() > HISTORY)
        {
            historyFloor = history.removeFirst().revision();
        }
    }

    /**
     * @param seconds how long the lease lasts without a renewal
     * @return the new lease
     */
    public synchronized long grant(long seconds)
    {
        long ttl = TimeUnit.SECONDS.toNanos(seconds);
        lastLease++;
        leases.put(lastLease, new Lease(ttl, nanoTime.getAsLong() + ttl));
        return lastLease;
    }

    /**
     * @param id a lease
     * @return the seconds granted, or 0 for a lease that has ended
     */
    public synchronized long renew(long id)
    {
        endLapsedLeases();
        Lease lease = leases.get(id);
        if (lease == null)
        {
            return 0;
        }
        leases.put(id, new Lease(lease.ttlNanos, nanoTime.getAsLong() + lease.ttlNanos));
        return Math.max(1, TimeUnit.NANOSECONDS.toSeconds(lease.ttlNanos));
    }

    /** @param id a lease that ends now */
    public synchronized void revoke(long id)
    {
        if (leases.remove(id) != null)
        {
            removeKeysOf(id);
        }
    }

    /** Ends leases whose time is over; called before each use and by a ticker. */
    synchronized void endLapsedLeases()
    {
        long now = nanoTime.getAsLong();
        List<Long> lapsed = leases.entrySet().stream().filter(e -> e.getValue().endsAt - now <= 0)
                .map(Map.Entry::getKey).toList();
        for (long id : lapsed)
        {
            leases.remove(id);
            removeKeysOf(id);
        }
    }

    private void removeKeysOf(long lease)
    {
        List<String> gone = keys.entrySet().stream().filter(e -> e.getValue().lease == lease)
                .map(Map.Entry::getKey).toList();
        if (!gone.isEmpty())
        {
            revision++;
            gone.forEach(key -> apply(new Write(key, null, 0)));
            notifyAll();
        }
    }

    /**
     * Waits for changes of some keys.
     *
     * @param from the first key
     * @param end the key after the last one
     * @param fromRevision the first revision to tell of
     * @param millis how long to wait at most
     * @return the changes, or nothing at all if they are no longer held
     * @throws InterruptedException if the process stops
     */
    public synchronized Optional<List<StoreChange>> await(String from, String end, long fromRevision,
            long millis) throws InterruptedException
    {
        long until = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (true)
        {
            if (fromRevision <= historyFloor && historyFloor > 1)
            {
                return Optional.empty();
            }
            List<StoreChange> found = history.stream().filter(c -> c.revision() >= fromRevision
                    && c.key().compareTo(from) >= 0 && c.key().compareTo(end) < 0).toList();
            long left = TimeUnit.NANOSECONDS.toMillis(until - nanoTime.getAsLong());
            if (!found.isEmpty() || left <= 0)
            {
                return Optional.of(found);
            }
            wait(left);
        }
    }
}
