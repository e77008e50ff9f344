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
 * Passes calls on to a store and notes whether it answers. It counts as silent after two failed
 * calls without an answer between them and half a second without any answer, or when calls have
 * been open for a while in which none was answered; the next answer ends that. Watches that were
 * open until then are ended, since what they wait for may never come.
 */
public final class MonitoredStore implements PlatformStore
{
    private static final int FAILURES = 2;
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long UNANSWERED_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long STEADY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final PlatformStore store;
    private final EventLog events;
    private final LongSupplier nanoTime;
    private final Set<MonitoredWatch> watches = ConcurrentHashMap.newKeySet();
    private int failures;
    private long answeredNanos;
    private long failedNanos;
    private boolean silent;
    private long silences;
    private int open;
    /** Since when calls have been open without any answer. */
    private long unansweredNanos;

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
        opened();
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
        finally
        {
            closed();
        }
    }

    private synchronized void opened()
    {
        if (open == 0)
        {
            unansweredNanos = nanoTime.getAsLong();
        }
        open++;
    }

    private synchronized void closed()
    {
        open--;
    }

    private void answered()
    {
        if (noteAnswer())
        {
            events.record(EventType.STORE_FOUND, events.process(), "a call was answered");
            watches.forEach(MonitoredWatch::close);
        }
    }

    /** Whether the answer ends a silence. */
    private synchronized boolean noteAnswer()
    {
        boolean found = silent;
        failures = 0;
        answeredNanos = nanoTime.getAsLong();
        unansweredNanos = answeredNanos;
        silent = false;
        return found;
    }

    private synchronized void failed(GaugehollowException e)
    {
        failures++;
        failedNanos = nanoTime.getAsLong();
        boolean lasting = nanoTime.getAsLong() - answeredNanos > SILENCE_NANOS;
        if (failures >= FAILURES && lasting)
        {
            lost(failures + " calls failed: " + e.getMessage());
        }
    }

    private void lost(String why)
    {
        if (!silent)
        {
            silent = true;
            silences++;
            events.record(EventType.STORE_LOST, events.process(), why);
        }
    }

    /**
     * Whether the store does not answer this box at the moment. Calls that are open count as silence
     * after a while, before they fail.
     *
     * @return whether it is silent
     */
    public synchronized boolean isUnresponsive()
    {
        if (open > 0 && nanoTime.getAsLong() - unansweredNanos > UNANSWERED_NANOS)
        {
            lost(open + " calls have no answer");
        }
        return silent;
    }

    /** @return how many times the store fell silent since the start */
    public synchronized long outageCount()
    {
        return silences;
    }

    /** @return whether the store answers this box and no call has failed for a while */
    public synchronized boolean isStable()
    {
        return !isUnresponsive() && nanoTime.getAsLong() - failedNanos > STEADY_NANOS;
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
        MonitoredWatch watch = new MonitoredWatch(store.watch(prefix, fromRevision));
        watches.add(watch);
        return watch;
    }

    /** An open watch. */
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
