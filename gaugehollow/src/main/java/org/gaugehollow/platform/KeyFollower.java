/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.List;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Follows all keys under a prefix: lists them once, then watches them. A lost watch is resumed at
 * its last revision; if the store has compacted that revision, the keys are listed again. Changes
 * of a key are delivered in order and at least once; one is given up if the listener fails on it
 * repeatedly.
 */
public final class KeyFollower implements SupervisedTask
{
    private static final int POLL_MILLIS = 2_000;
    private static final int MIN_RETRY_DELAY_MILLIS = 50;
    private static final int MAX_RETRY_DELAY_MILLIS = 400;
    private static final long NOT_LISTED = -1;

    /** Receives the state and the changes of the followed keys. */
    public interface Listener
    {
        /**
         * Called for each key that exists or was written.
         *
         * @param key the key
         * @param value the value
         * @param revision the revision of the write
         */
        void onPut(String key, byte[] value, long revision);

        /**
         * Called for each key that was removed.
         *
         * @param key the key
         * @param revision the revision at which the removal was observed
         */
        void onRemoved(String key, long revision);

        /**
         * Called after all keys of a listing were delivered.
         *
         * @param revision the revision of the listing
         */
        void onListed(long revision);
    }

    private final PlatformStore store;
    private final String prefix;
    private final KeyTracker tracker;
    private final EventLog events;
    private long revision = NOT_LISTED;
    private boolean watchLost;

    /**
     * @param store the store
     * @param prefix the prefix of the keys
     * @param listener receives the changes, on the thread of this task
     * @param events records lost and resumed watches
     */
    public KeyFollower(PlatformStore store, String prefix, Listener listener, EventLog events)
    {
        this.store = store;
        this.prefix = prefix;
        this.tracker = new KeyTracker(listener, events);
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        int retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        while (true)
        {
            try
            {
                if (revision == NOT_LISTED)
                {
                    list();
                }
                retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
                watch();
            }
            catch (GaugehollowException e)
            {
                revision = e.code() == ResultCode.WATCH_TOO_OLD ? NOT_LISTED : revision;
                recordLost(e);
            }
            Thread.sleep(retryDelayMillis);
            retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
        }
    }

    private void recordLost(GaugehollowException e)
    {
        if (!watchLost)
        {
            watchLost = true;
            events.record(EventType.STORE_WATCH_LOST, prefix, e.getMessage());
        }
    }

    private void list() throws InterruptedException
    {
        StoreListing current = store.list(prefix);
        tracker.deliver(current);
        revision = current.revision();
    }

    private void watch() throws InterruptedException
    {
        try (StoreWatch watch = store.watch(prefix, revision + 1))
        {
            while (true)
            {
                List<StoreChange> changes = watch.poll(POLL_MILLIS);
                recordRegained();
                deliver(changes);
            }
        }
    }

    /**
     * Delivers the changes in order. A transaction may change several keys at one revision, which
     * counts as delivered only after the last of them; a watch that resumes after a failure delivers
     * all of them again.
     */
    private void deliver(List<StoreChange> changes)
    {
        for (StoreChange change : changes)
        {
            revision = Math.max(revision, change.revision() - 1);
            deliver(change);
        }
        if (!changes.isEmpty())
        {
            revision = changes.getLast().revision();
        }
        tracker.onChangesDelivered();
    }

    private void recordRegained()
    {
        if (watchLost)
        {
            watchLost = false;
            events.record(EventType.STORE_WATCH_REGAINED, prefix, "after revision " + revision);
        }
    }

    private void deliver(StoreChange change)
    {
        if (change.deleted())
        {
            tracker.remove(change.key(), change.revision());
            return;
        }
        tracker.put(change.key(), change.value(), change.revision());
    }
}
