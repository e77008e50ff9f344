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

/** In-memory keys, leases and change history of the platform stand-in. Thread-safe. */
public final class StandinStore
{
    private static final int MAX_HISTORY_CHANGES = 10_000;

    private record Entry(byte[] value, long modRevision, long lease)
    {
    }

    private record Lease(long ttlNanos, long expiresAtNanos)
    {
    }

    private final LongSupplier nanoTime;
    private final NavigableMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<StoreChange> history = new ArrayDeque<>();
    private long revision = 1;
    private long compactedRevision = 1;
    private long lastLease = 1_000;

    /**
     * Creates an empty store.
     *
     * @param nanoTime monotonic clock in nanoseconds
     */
    public StandinStore(LongSupplier nanoTime)
    {
        this.nanoTime = nanoTime;
    }

    /** @return revision of the newest write */
    public synchronized long revision()
    {
        return revision;
    }

    /**
     * Reads a range of keys.
     *
     * @param from first key
     * @param end end of the range, exclusive; if empty, only the first key is read
     * @return values of the existing keys
     */
    public synchronized List<StoredValue> range(String from, Optional<String> end)
    {
        expireLeases();
        List<StoredValue> values = new ArrayList<>();
        NavigableMap<String, Entry> selected = end.map(e -> keys.subMap(from, true, e, false))
                .orElseGet(() -> keys.subMap(from, true, from, true));
        selected.forEach((key, entry) -> values.add(new StoredValue(key, entry.value, entry.modRevision)));
        return values;
    }

    /**
     * Write operation of a transaction.
     *
     * @param key key to write
     * @param value new value; null deletes the key
     * @param lease lease that the key is attached to, or 0
     */
    public record Write(String key, byte[] value, long lease)
    {
    }

    /**
     * Applies all writes at one revision if every key has its required revision.
     *
     * @param required required revision of each key; 0 if the key must not exist
     * @param writes writes to apply
     * @return whether the writes were applied
     */
    public synchronized boolean commit(Map<String, Long> required, List<Write> writes)
    {
        expireLeases();
        for (Map.Entry<String, Long> condition : required.entrySet())
        {
            Entry entry = keys.get(condition.getKey());
            if ((entry == null ? 0 : entry.modRevision) != condition.getValue())
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
                addToHistory(new StoreChange(write.key, new byte[0], revision, true));
            }
            return;
        }
        keys.put(write.key, new Entry(write.value, revision, write.lease));
        addToHistory(new StoreChange(write.key, write.value, revision, false));
    }

    private void addToHistory(StoreChange change)
    {
        history.addLast(change);
        if (history.size() > MAX_HISTORY_CHANGES)
        {
            compactedRevision = history.removeFirst().revision();
        }
    }

    /**
     * Grants a lease.
     *
     * @param seconds time to live in seconds
     * @return id of the new lease
     */
    public synchronized long grant(long seconds)
    {
        long ttl = TimeUnit.SECONDS.toNanos(seconds);
        lastLease++;
        leases.put(lastLease, new Lease(ttl, nanoTime.getAsLong() + ttl));
        return lastLease;
    }

    /**
     * Renews a lease.
     *
     * @param id lease id
     * @return time to live in seconds, or 0 if the lease has expired
     */
    public synchronized long renew(long id)
    {
        expireLeases();
        Lease lease = leases.get(id);
        if (lease == null)
        {
            return 0;
        }
        leases.put(id, new Lease(lease.ttlNanos, nanoTime.getAsLong() + lease.ttlNanos));
        return Math.max(1, TimeUnit.NANOSECONDS.toSeconds(lease.ttlNanos));
    }

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param id lease id
     */
    public synchronized void revoke(long id)
    {
        if (leases.remove(id) != null)
        {
            removeKeysOf(id);
        }
    }

    /** Removes expired leases and their keys. */
    synchronized void expireLeases()
    {
        long now = nanoTime.getAsLong();
        List<Long> expired = leases.entrySet().stream().filter(e -> e.getValue().expiresAtNanos - now <= 0)
                .map(Map.Entry::getKey).toList();
        for (long id : expired)
        {
            leases.remove(id);
            removeKeysOf(id);
        }
    }

    private void removeKeysOf(long lease)
    {
        List<String> attachedKeys = keys.entrySet().stream().filter(e -> e.getValue().lease == lease)
                .map(Map.Entry::getKey).toList();
        if (!attachedKeys.isEmpty())
        {
            revision++;
            attachedKeys.forEach(key -> apply(new Write(key, null, 0)));
            notifyAll();
        }
    }

    /**
     * Waits for changes in a range of keys.
     *
     * @param from first key
     * @param end end of the range, exclusive
     * @param fromRevision first revision to return
     * @param timeoutMillis maximum time to wait in milliseconds
     * @return the changes, or empty if the history no longer covers {@code fromRevision}
     * @throws InterruptedException if the thread is interrupted
     */
    public synchronized Optional<List<StoreChange>> await(String from, String end, long fromRevision,
            long timeoutMillis) throws InterruptedException
    {
        long deadlineNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (true)
        {
            if (fromRevision <= compactedRevision && compactedRevision > 1)
            {
                return Optional.empty();
            }
            List<StoreChange> found = history.stream().filter(c -> c.revision() >= fromRevision
                    && c.key().compareTo(from) >= 0 && c.key().compareTo(end) < 0).toList();
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nanoTime.getAsLong());
            if (!found.isEmpty() || remainingMillis <= 0)
            {
                return Optional.of(found);
            }
            wait(remainingMillis);
        }
    }
}
