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
 * Follows all keys under a prefix: reads them once, then watches them. A watch that ends is opened
 * again where it ended; all is read again once the store has forgotten what came after. Each key's
 * changes are delivered in order; a change may be delivered twice.
 */
public final class KeyFollower implements SupervisedTask
{
    private static final int POLL_MILLIS = 2_000;
    private static final int FIRST_RETRY_MILLIS = 50;
    private static final int LONGEST_RETRY_MILLIS = 400;
    private static final long NOT_LISTED = -1;

    /** Receives what is followed. */
    public interface Listener
    {
        /**
         * @param key a key that was written
         * @param value its value
         * @param revision the revision of the write
         */
        void onPut(String key, byte[] value, long revision);

        /**
         * @param key a key that is gone
         * @param revision the revision at which it was known to be gone
         */
        void onRemoved(String key, long revision);

        /**
         * All keys were delivered as they stood at a revision.
         *
         * @param revision the revision
         */
        void onListed(long revision);
    }

    private final PlatformStore store;
    private final String prefix;
    private final KeyListing listing;
    private final EventLog events;
    private long revision = NOT_LISTED;
    private boolean lost;

    /**
     * @param store the platform's store
     * @param prefix the start of the keys
     * @param listener receives the changes, on this task's thread
     * @param events where lost and regained watches are recorded
     */
    public KeyFollower(PlatformStore store, String prefix, Listener listener, EventLog events)
    {
        this.store = store;
        this.prefix = prefix;
        this.listing = new KeyListing(listener);
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        int pause = FIRST_RETRY_MILLIS;
        while (true)
        {
            try
            {
                if (revision == NOT_LISTED)
                {
                    list();
                }
                pause = FIRST_RETRY_MILLIS;
                watch();
            }
            catch (GaugehollowException e)
            {
                revision = e.code() == ResultCode.WATCH_TOO_OLD ? NOT_LISTED : revision;
                noteLost(e);
            }
            Thread.sleep(pause);
            pause = Math.min(LONGEST_RETRY_MILLIS, pause * 2);
        }
    }

    private void noteLost(GaugehollowException e)
    {
        if (!lost)
        {
            lost = true;
            events.record(EventType.STORE_WATCH_LOST, prefix, e.getMessage());
        }
    }

    private void list() throws InterruptedException
    {
        StoreListing all = store.list(prefix);
        listing.deliver(all);
        revision = all.revision();
    }

    private void watch() throws InterruptedException
    {
        try (StoreWatch watch = store.watch(prefix, revision + 1))
        {
            while (true)
            {
                List<StoreChange> changes = watch.poll(POLL_MILLIS);
                noteRegained();
                changes.forEach(this::deliver);
            }
        }
    }

    private void noteRegained()
    {
        if (lost)
        {
            lost = false;
            events.record(EventType.STORE_WATCH_REGAINED, prefix, "after revision " + revision);
        }
    }

    private void deliver(StoreChange change)
    {
        revision = change.revision();
        if (change.deleted())
        {
            listing.remove(change.key(), change.revision());
            return;
        }
        listing.put(change.key(), change.value(), change.revision());
    }
}
