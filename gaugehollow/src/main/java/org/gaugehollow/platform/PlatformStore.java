/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.Optional;

/**
 * The platform's key-value service. A failed read says {@code STORE_UNAVAILABLE}; a failed write
 * says {@code STORE_UNAVAILABLE} only where it was surely not applied,
 * {@code STORE_OUTCOME_UNKNOWN} otherwise.
 */
public interface PlatformStore extends AutoCloseable
{
    /**
     * @param key a key
     * @return its value, if it exists
     * @throws InterruptedException if the process stops
     */
    Optional<StoredValue> get(String key) throws InterruptedException;

    /**
     * @param prefix the start of keys
     * @return all keys that start with it, at one revision
     * @throws InterruptedException if the process stops
     */
    StoreListing list(String prefix) throws InterruptedException;

    /**
     * @param transaction conditions and writes
     * @return the revision of the change, or empty if a condition did not hold
     * @throws InterruptedException if the process stops
     */
    Optional<Long> commit(StoreTransaction transaction) throws InterruptedException;

    /**
     * @param millis how long the lease lives without renewal, in milliseconds; a store may round it up
     * @return its id
     * @throws InterruptedException if the process stops
     */
    long grantLease(int millis) throws InterruptedException;

    /**
     * @param lease a lease's id
     * @return whether the store still knew it and renewed it
     * @throws InterruptedException if the process stops
     */
    boolean renewLease(long lease) throws InterruptedException;

    /**
     * @param lease a lease's id; its keys go with it
     * @throws InterruptedException if the process stops
     */
    void revokeLease(long lease) throws InterruptedException;

    /**
     * @param prefix the start of keys
     * @param fromRevision the first revision to report
     * @return an open watch
     * @throws InterruptedException if the process stops
     */
    StoreWatch watch(String prefix, long fromRevision) throws InterruptedException;

    @Override
    void close();
}
