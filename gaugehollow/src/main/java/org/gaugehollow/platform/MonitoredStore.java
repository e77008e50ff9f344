/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;

/**
 * Delegates to a store and monitors whether it responds. The store counts as unresponsive after
 * several consecutive failures without an answer for some time, or when open calls remain
 * unanswered for some time. The next answer ends the outage and closes the watches opened before,
 * because they may have missed changes.
 */
public final class MonitoredStore implements PlatformStore
{
    private static final int MIN_FAILURES = 2;
    private static final long MIN_OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MAX_UNANSWERED_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long MIN_STABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final PlatformStore store;
    private final EventLog events;
    private final LongSupplier nanoTime;
    private final Set<MonitoredWatch> watches = ConcurrentHashMap.newKeySet();
    private int consecutiveFailures;
    private long lastAnswerNanos;
    private long lastFailureNanos;
    private boolean unresponsive;
    private long outageCount;
    private int openCalls;
    /** Start of the time in which calls have been open without an answer. */
    private long unansweredSinceNanos;

    /**
     * @param store the monitored store
     * @param events records outages and recoveries of the store
     * @param nanoTime a monotonic clock
     */
    public MonitoredStore(PlatformStore store, EventLog events, LongSupplier nanoTime)
    {
        this.store = store;
        this.events = events;
        this.nanoTime = nanoTime;
        this.lastAnswerNanos = nanoTime.getAsLong();
        this.lastFailureNanos = lastAnswerNanos;
    }

    /** A call to the store. */
    private interface Call<T>
    {
        T run() throws InterruptedException;
    }

    private <T> T callMonitored(Call<T> call) throws InterruptedException
    {
        onCallStarted();
        try
        {
            T result = call.run();
            onAnswer();
            return result;
        }
        catch (GaugehollowException e)
        {
            onFailure(e);
            throw e;
        }
        finally
        {
            onCallEnded();
        }
    }

    private synchronized void onCallStarted()
    {
        if (openCalls == 0)
        {
            unansweredSinceNanos = nanoTime.getAsLong();
        }
        openCalls++;
    }

    private synchronized void onCallEnded()
    {
        openCalls--;
    }

    private void onAnswer()
    {
        if (recordAnswer())
        {
            events.record(EventType.STORE_FOUND, events.process(), "a call was answered");
            watches.forEach(MonitoredWatch::close);
        }
    }

    /** Records an answer and returns whether it ends an outage. */
    private synchronized boolean recordAnswer()
    {
        boolean recovered = unresponsive;
        consecutiveFailures = 0;
        lastAnswerNanos = nanoTime.getAsLong();
        unansweredSinceNanos = lastAnswerNanos;
        unresponsive = false;
        return recovered;
    }

    private synchronized void onFailure(GaugehollowException e)
    {
        consecutiveFailures++;
        lastFailureNanos = nanoTime.getAsLong();
        boolean longEnough = nanoTime.getAsLong() - lastAnswerNanos > MIN_OUTAGE_NANOS;
        if (consecutiveFailures >= MIN_FAILURES && longEnough)
        {
            markUnresponsive(consecutiveFailures + " calls failed: " + e.getMessage());
        }
    }

    private void markUnresponsive(String reason)
    {
        if (!unresponsive)
        {
            unresponsive = true;
            outageCount++;
            events.record(EventType.STORE_LOST, events.process(), reason);
        }
    }

    /**
     * Returns whether the store is unresponsive. Open calls that remain unanswered count before they
     * fail.
     *
     * @return whether the store is unresponsive
     */
    public synchronized boolean isUnresponsive()
    {
        if (openCalls > 0 && nanoTime.getAsLong() - unansweredSinceNanos > MAX_UNANSWERED_NANOS)
        {
            markUnresponsive(openCalls + " open calls are unanswered");
        }
        return unresponsive;
    }

    /** @return the number of outages since the start */
    public synchronized long outageCount()
    {
        return outageCount;
    }

    /** @return whether the store is responsive and no call has failed recently */
    public synchronized boolean isStable()
    {
        return !isUnresponsive() && nanoTime.getAsLong() - lastFailureNanos > MIN_STABLE_NANOS;
    }

    @Override
    public Optional<StoredValue> get(String key) throws InterruptedException
    {
        return callMonitored(() -> store.get(key));
    }

    @Override
    public StoreListing list(String prefix) throws InterruptedException
    {
        return callMonitored(() -> store.list(prefix));
    }

    @Override
    public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
    {
        return callMonitored(() -> store.commit(transaction));
    }

    @Override
    public long grantLease(int millis) throws InterruptedException
    {
        return callMonitored(() -> store.grantLease(millis));
    }

    @Override
    public boolean renewLease(long lease) throws InterruptedException
    {
        return callMonitored(() -> store.renewLease(lease));
    }

    @Override
    public void revokeLease(long lease) throws InterruptedException
    {
        store.revokeLease(lease);
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision) throws InterruptedException
    {
        MonitoredWatch watch = new MonitoredWatch(store.watch(prefix, fromRevision));
        watches.add(watch);
        return watch;
    }

    /** A watch that is closed when the store recovers from an outage. */
    private final class MonitoredWatch implements StoreWatch
    {
        private final StoreWatch watch;

        MonitoredWatch(StoreWatch watch)
        {
            this.watch = watch;
        }

        @Override
        public List<StoreChange> poll(int timeoutMillis) throws InterruptedException
        {
            return watch.poll(timeoutMillis);
        }

        @Override
        public void close()
        {
            watches.remove(this);
            watch.close();
        }
    }

    @Override
    public void close()
    {
        store.close();
    }
}
