/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Optional;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;

/**
 * A value in the store that only the cell's owner writes. Each write requires the owner's key and
 * the revision that it replaces, so that neither an earlier owner nor a write that is done late
 * replaces a newer value. Not thread-safe.
 */
final class OwnerValue
{
    /** Lease of a value that outlives the term. */
    static final long NO_LEASE = 0;

    private final PlatformStore store;
    private final String key;
    private final OwnerLease owner;
    /** Revision of the value as far as this owner knows, 0 if there is none. */
    private long revision;

    /**
     * @param store the platform's store
     * @param key the value's key
     * @param owner this box's term
     */
    OwnerValue(PlatformStore store, String key, OwnerLease owner)
    {
        this.store = store;
        this.key = key;
        this.owner = owner;
    }

    /**
     * Reads the value. The next write replaces what was read.
     *
     * @throws GaugehollowException {@code STORE_UNAVAILABLE} if the store does not answer
     */
    Optional<StoredValue> read() throws InterruptedException
    {
        Optional<StoredValue> value = HedgedCall.read(() -> store.get(key));
        revision = value.map(StoredValue::modRevision).orElse(0L);
        return value;
    }

    /**
     * Writes the value, unless another write took effect since the known revision. The next write then
     * replaces that one.
     *
     * @param value the new value
     * @param storeLease the store's lease that the value is tied to, or {@link #NO_LEASE}
     * @return whether the value was written
     * @throws GaugehollowException if the write failed or its outcome is unknown
     */
    boolean write(byte[] value, long storeLease) throws InterruptedException
    {
        StoreTransaction transaction = new StoreTransaction().require(JobKeys.OWNER, owner.ownerRevision())
                .require(key, revision).put(key, value, storeLease);
        Optional<Long> written = HedgedCall.write(() -> store.commit(transaction));
        if (written.isEmpty())
        {
            read();
            return false;
        }
        revision = written.get();
        return true;
    }

    /** Returns the revision of the value as far as this owner knows, 0 if there is none. */
    long revision()
    {
        return revision;
    }
}
