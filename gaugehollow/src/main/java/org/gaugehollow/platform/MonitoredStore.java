/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;

/**
 * Passes calls on to a store and notes whether it answers. It counts as silent after two failed
 * calls without an answer between them and half a second without any answer; the next answer ends
 * that.
 */
public final class MonitoredStore implements PlatformStore
{
    private static final int FAILURES = 2;
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long STEADY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final PlatformStore store;
    private final EventLog events;
    private final LongSupplier nanoTime;
    private int failures;
    private long answeredNanos;
    private long failedNanos;
    private boolean silent;

    /**
     * @param store the store
     * @param events where loss and return of the store are recorded
     * @param nanoTime a monotonic clock
     */
    public MonitoredStore(PlatformStore store, EventLog events, LongSupplier nanoTime)
    {
        this.store = store;
        this.events = events;
        this.nanoTime = nanoTime;
        this.answeredNanos = nanoTime.getAsLong();
        this.failedNanos = answeredNanos;
    }

    /** One call to the store. */
    private interface Call<T>
    {
        T run() throws InterruptedException;
    }

    private <T> T watched(Call<T> call) throws InterruptedException
    {
        try
        {
            T result = call.run();
            answered();
            return result;
        }
        catch (GaugehollowException e)
        {
            failed(e);
            throw e;
        }
    }

    private synchronized void answered()
    {
        failures = 0;
        answeredNanos = nanoTime.getAsLong();
        if (silent)
        {
            silent = false;
            events.record(EventType.STORE_FOUND, events.process(), "a call was answered");
        }
    }

    private synchronized void failed(GaugehollowException e)
    {
        failures++;
        failedNanos = nanoTime.getAsLong();
        boolean lasting = nanoTime.getAsLong() - answeredNanos > SILENCE_NANOS;
        if (!silent && failures >= FAILURES && lasting)
        {
            silent = true;
            events.record(EventType.STORE_LOST, events.process(),
                    failures + " calls failed: " + e.getMessage());
        }
    }

    /** @return whether the store does not answer this box at the moment */
    public synchronized boolean isSilent()
    {
        return silent;
    }

    /** @return whether the store answers this box and no call has failed for a while */
    public synchronized boolean isSteady()
    {
        return !silent && nanoTime.getAsLong() - failedNanos > STEADY_NANOS;
    }

    @Override
    public Optional<StoredValue> get(String key) throws InterruptedException
    {
        return watched(() -> store.get(key));
    }

    @Override
    public StoreListing list(String prefix) throws InterruptedException
    {
        return watched(() -> store.list(prefix));
    }

    @Override
    public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
    {
        return watched(() -> store.commit(transaction));
    }

    @Override
    public long grantLease(int millis) throws InterruptedException
    {
        return watched(() -> store.grantLease(millis));
    }

    @Override
    public boolean renewLease(long lease) throws InterruptedException
    {
        return watched(() -> store.renewLease(lease));
    }

    @Override
    public void revokeLease(long lease) throws InterruptedException
    {
        store.revokeLease(lease);
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision) throws InterruptedException
    {
        return store.watch(prefix, fromRevision);
    }

    @Override
    public void close()
    {
        store.close();
    }
}
