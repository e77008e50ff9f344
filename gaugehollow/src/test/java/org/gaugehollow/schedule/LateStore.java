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

/** Store that executes one write late and rejects the hedged attempt that is sent meanwhile. */
final class LateStore extends FakeStore
{
    /** Longer than the delay of a hedged call. */
    private static final int DELAY_MILLIS = 900;
    /** Duration of a lease that is not renewed. */
    private static final int LEASE_MILLIS = 1_000;

    private final CountDownLatch lateWriteDone = new CountDownLatch(1);
    private final Set<Long> renewed = ConcurrentHashMap.newKeySet();
    private String delayedKey;
    private int attempts;

    /**
     * Delays the next write of a key.
     *
     * @param value the key
     */
    synchronized void delayNextWriteOf(String key)
    {
        delayedKey = key;
    }

    /** Waits until the delayed write was executed, whether or not it took effect. */
    void awaitLateWrite() throws InterruptedException
    {
        lateWriteDone.await();
    }

    private synchronized int countAttempt(StoreTransaction transaction)
    {
        boolean isDelayedKey = delayedKey != null
                && transaction.writes().stream().anyMatch(write -> write.key().equals(delayedKey));
        attempts += isDelayedKey ? 1 : 0;
        return isDelayedKey ? attempts : 0;
    }

    @Override
    @SuppressWarnings("UnsynchronizedOverridesSynchronized") // other calls must not wait for a delayed write
    public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
    {
        return switch (countAttempt(transaction))
        {
            case 1 -> commitLate(transaction);
            case 2 -> throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
            default -> super.commit(transaction);
        };
    }

    private Optional<Long> commitLate(StoreTransaction transaction) throws InterruptedException
    {
        Thread.sleep(DELAY_MILLIS);
        Optional<Long> revision = super.commit(transaction);
        lateWriteDone.countDown();
        long lease = transaction.writes().getFirst().lease();
        if (lease != 0)
        {
            OwnerTerm.inBackground("expire", () -> expireUnlessRenewed(lease));
        }
        return revision;
    }

    @Override
    public synchronized boolean renewLease(long lease)
    {
        renewed.add(lease);
        return super.renewLease(lease);
    }

    private void expireUnlessRenewed(long lease) throws InterruptedException
    {
        Thread.sleep(LEASE_MILLIS);
        if (!renewed.contains(lease))
        {
            revokeLease(lease);
        }
    }
}
