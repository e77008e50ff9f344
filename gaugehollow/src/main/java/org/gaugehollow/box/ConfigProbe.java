/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.function.BooleanSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Polls the configuration during a store outage and until one read has succeeded after it. Until
 * then the cached configuration may be stale, because other calls can succeed before the watch
 * delivers the changes made during the outage; a box that uses it could accept an API key that was
 * removed during the outage. Reads run concurrently, since a read sent during the outage may never
 * be answered.
 */
final class ConfigProbe implements SupervisedTask, BooleanSupplier
{
    private static final int INTERVAL_MILLIS = 200;

    private final MonitoredStore store;
    private final String key;
    private final KeyFollower.Listener listener;
    /** Number of the last outage since whose start the configuration was read. */
    private long lastReadOutage;

    /**
     * @param store monitored store
     * @param key store key of the configuration
     * @param listener receives the configuration read
     */
    ConfigProbe(MonitoredStore store, String key, KeyFollower.Listener listener)
    {
        this.store = store;
        this.key = key;
        this.listener = listener;
    }

    /** Returns whether the cached configuration may be stale. */
    @Override
    public boolean getAsBoolean()
    {
        return store.isUnresponsive() || store.outageCount() > lastReadOutage();
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            if (getAsBoolean())
            {
                Thread.ofVirtual().name("config-probe").start(this::read);
            }
            Thread.sleep(INTERVAL_MILLIS);
        }
    }

    /** Reads the configuration once. */
    void read()
    {
        long outage = store.outageCount();
        try
        {
            store.get(key).ifPresent(value -> listener.onPut(key, value.value(), value.modRevision()));
            recordRead(outage);
        }
        catch (GaugehollowException e)
        {
            // the next interval retries; MonitoredStore has recorded the failure
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized long lastReadOutage()
    {
        return lastReadOutage;
    }

    private synchronized void recordRead(long outage)
    {
        lastReadOutage = Math.max(lastReadOutage, outage);
    }
}
