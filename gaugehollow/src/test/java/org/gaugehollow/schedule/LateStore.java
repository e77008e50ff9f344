/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;

/**
 * A store that carries one write out late and turns the next one away meanwhile, as it is sent
 * beside the first.
 */
final class LateStore extends FakeStore
{
    /** Longer than a call waits until it is sent once more. */
    private static final int LATE_MILLIS = 900;
    /** How long a lease lasts that nobody renews. */
    private static final int LEASE_MILLIS = 1_000;

    private final CountDownLatch carriedOut = new CountDownLatch(1);
    private final Set<Long> renewed = ConcurrentHashMap.newKeySet();
    private String key;
    private int tries;

    /** @param value the next write of this key is carried out late */
    synchronized void holdNextWriteOf(String value)
    {
        key = value;
    }

    /** Waits until the late write was carried out, be it in vain. */
    void awaitCarriedOut() throws InterruptedException
    {
        carriedOut.await();
    }

    private synchronized int countTry(StoreTransaction transaction)
    {
        boolean counts = key != null
                && transaction.writes().stream().anyMatch(write -> write.key().equals(key));
        tries += counts ? 1 : 0;
        return counts ? tries : 0;
    }

    @Override
    @SuppressWarnings("UnsynchronizedOverridesSynchronized") // others are served meanwhile
    public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
    {
        return switch (countTry(transaction))
        {
            case 1 -> commitLate(transaction);
            case 2 -> throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "turned away");
            default -> super.commit(transaction);
        };
    }

    private Optional<Long> commitLate(StoreTransaction transaction) throws InterruptedException
    {
        Thread.sleep(LATE_MILLIS);
        Optional<Long> revision = super.commit(transaction);
        carriedOut.countDown();
        long lease = transaction.writes().getFirst().lease();
        if (lease != 0)
        {
            OwnerTerm.inBackground("lapse", () -> lapse(lease));
        }
        return revision;
    }

    @Override
    public synchronized boolean renewLease(long lease)
    {
        renewed.add(lease);
        return super.renewLease(lease);
    }

    private void lapse(long lease) throws InterruptedException
    {
        Thread.sleep(LEASE_MILLIS);
        if (!renewed.contains(lease))
        {
            revokeLease(lease);
        }
    }
}
