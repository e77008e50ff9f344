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
 * Reads the configuration again and again while the store does not answer this box, and until one
 * reading was answered after that; the first answer ends the silence. Readings do not wait for each
 * other: one that was sent before the return may never be answered. Some other call is often
 * answered first, 0.3 s before the watch brings what has changed meanwhile; decided by the old
 * configuration in between, a key was let in that had been taken away 3 s before.
 */
final class ConfigProbe implements SupervisedTask, BooleanSupplier
{
    private static final int INTERVAL_MILLIS = 200;

    private final MonitoredStore store;
    private final String key;
    private final KeyFollower.Listener listener;
    /** The last silence after whose begin the configuration was read. */
    private long lastReadOutage;

    /**
     * @param store the store
     * @param key where the configuration lies
     * @param listener takes what is read
     */
    ConfigProbe(MonitoredStore store, String key, KeyFollower.Listener listener)
    {
        this.store = store;
        this.key = key;
        this.listener = listener;
    }

    /** Whether the configuration may have changed without this box knowing of it. */
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
            // the store is still silent, as it has noted itself
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
