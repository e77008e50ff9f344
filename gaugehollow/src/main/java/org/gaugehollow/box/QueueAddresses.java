/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.QueueAddress;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;

/**
 * The addresses at which jobs of each queue were accepted. A job belongs to its queue and to the
 * address at which its caller reached that queue: callers know the address only, and a
 * configuration may give another name to the queue there.
 * <p>
 * An address is written with the first job that a box accepts there, and is never changed.
 */
final class QueueAddresses
{
    /** Limits the memory for queues that no longer exist. */
    private static final int MAX_CACHED = 1_000;

    private final PlatformStore store;
    private final Set<Entry> stored = ConcurrentHashMap.newKeySet();

    /**
     * The stored value.
     *
     * @param queue the name of the queue
     * @param host the host of the address
     * @param pathPrefix the path prefix of the address
     */
    private record Entry(String queue, String host, String pathPrefix)
    {
        private Entry(String queue, QueueAddress address)
        {
            this(queue, address.host(), address.pathPrefix());
        }

        /** Returns the key, which is short whatever the length of the names. */
        private String key()
        {
            byte[] name = String.join("\n", queue, host, pathPrefix).getBytes(StandardCharsets.UTF_8);
            return JobKeys.QUEUE_ADDRESSES + UUID.nameUUIDFromBytes(name);
        }
    }

    /** @param store the platform's store */
    QueueAddresses(PlatformStore store)
    {
        this.store = store;
    }

    /**
     * Adds the address of a job to the transaction that accepts it, unless it is known to be stored.
     */
    void addTo(StoreTransaction acceptance, JobScope scope)
    {
        scope.address().map(address -> new Entry(scope.queue().name(), address))
                .filter(entry -> !stored.contains(entry))
                .ifPresent(entry -> acceptance.put(entry.key(), Json.write(entry)));
    }

    /** Records that the transaction which accepted a job took effect. */
    void onAccepted(JobScope scope)
    {
        scope.address().ifPresent(address -> remember(new Entry(scope.queue().name(), address)));
    }

    /**
     * Returns whether jobs of a queue were accepted at the address of a caller.
     *
     * @throws GaugehollowException {@code STORE_UNAVAILABLE} if the store does not answer
     */
    boolean wereAcceptedAt(JobScope scope, String queue) throws InterruptedException
    {
        if (scope.address().isEmpty())
        {
            return false;
        }
        Entry entry = new Entry(queue, scope.address().get());
        boolean isStored = stored.contains(entry)
                || HedgedCall.read(() -> store.get(entry.key())).isPresent();
        if (isStored)
        {
            remember(entry);
        }
        return isStored;
    }

    private void remember(Entry entry)
    {
        if (stored.size() >= MAX_CACHED)
        {
            stored.clear();
        }
        stored.add(entry);
    }
}
