/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.Optional;

/**
 * The platform's key-value store. A failed read throws {@code STORE_UNAVAILABLE}. A failed write
 * throws {@code STORE_UNAVAILABLE} if it was certainly not applied, and
 * {@code STORE_OUTCOME_UNKNOWN} otherwise.
 */
public interface PlatformStore extends AutoCloseable
{
    /**
     * @param key the key
     * @return the value, if the key exists
     * @throws InterruptedException if the thread is interrupted
     */
    Optional<StoredValue> get(String key) throws InterruptedException;

    /**
     * @param prefix the prefix of the keys
     * @return all keys with the prefix, at one revision
     * @throws InterruptedException if the thread is interrupted
     */
    StoreListing list(String prefix) throws InterruptedException;

    /**
     * @param transaction the conditions and writes
     * @return the revision of the change, or empty if a condition did not hold
     * @throws InterruptedException if the thread is interrupted
     */
    Optional<Long> commit(StoreTransaction transaction) throws InterruptedException;

    /**
     * @param millis time to live in milliseconds; a store may round it up
     * @return the id of the lease
     * @throws InterruptedException if the thread is interrupted
     */
    long grantLease(int millis) throws InterruptedException;

    /**
     * @param lease the id of the lease
     * @return whether the lease existed and was renewed
     * @throws InterruptedException if the thread is interrupted
     */
    boolean renewLease(long lease) throws InterruptedException;

    /**
     * Revokes a lease and removes its keys.
     *
     * @param lease the id of the lease
     * @throws InterruptedException if the thread is interrupted
     */
    void revokeLease(long lease) throws InterruptedException;

    /**
     * @param prefix the prefix of the keys
     * @param fromRevision the first revision to report
     * @return an open watch
     * @throws InterruptedException if the thread is interrupted
     */
    StoreWatch watch(String prefix, long fromRevision) throws InterruptedException;

    @Override
    void close();
}
