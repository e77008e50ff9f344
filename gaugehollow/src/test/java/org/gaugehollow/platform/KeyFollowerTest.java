/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.schedule.TestJobs;
import org.gaugehollow.supervise.Supervisor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a follower delivers each change at least once. */
class KeyFollowerTest
{
    private static final String PREFIX = "keys/";
    private static final byte[] VALUE = {1};

    private final FakeStore store = new FakeStore();
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final Supervisor supervisor = new Supervisor("test", events);
    private static final int POLL_MILLIS = 50;

    private final BlockingQueue<String> delivered = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> listings = new LinkedBlockingQueue<>();
    private final AtomicInteger deliveriesToFail = new AtomicInteger();
    /** The key whose deliveries all fail, or null. */
    private volatile String keyToFail;

    /** Records the delivered keys. */
    private final class Recorder implements KeyFollower.Listener
    {
        @Override
        public void onPut(String key, byte[] value, long revision)
        {
            if (key.equals(keyToFail))
            {
                throw new IllegalStateException("unexpected");
            }
            if (deliveriesToFail.getAndUpdate(count -> Math.max(0, count - 1)) > 0)
            {
                throw new IllegalStateException("unexpected");
            }
            delivered.add(key);
        }

        @Override
        public void onRemoved(String key, long revision)
        {
            delivered.add("-" + key);
        }

        @Override
        public void onListed(long revision)
        {
            listings.add(revision);
        }
    }

    @AfterEach
    void stop()
    {
        supervisor.close();
    }

    /** Guards against changes that are lost when the listener fails unexpectedly. */
    @Test
    void changesAreDeliveredAgainAfterTheListenerFails() throws InterruptedException
    {
        supervisor.start("follower", new KeyFollower(store, PREFIX, new Recorder(), events));
        assertThat(listings.poll(3, TimeUnit.SECONDS)).isNotNull();
        deliveriesToFail.set(1);
        store.commit(new StoreTransaction().put(PREFIX + "a", VALUE).put(PREFIX + "b", VALUE));
        List<String> keys = List.of(String.valueOf(delivered.poll(3, TimeUnit.SECONDS)),
                String.valueOf(delivered.poll(3, TimeUnit.SECONDS)));
        assertThat(keys).containsExactly(PREFIX + "a", PREFIX + "b").inOrder();
    }

    /** Guards against one change that the listener always fails on and that holds up all later ones. */
    @Test
    void changesAfterOneThatAlwaysFailsAreDelivered() throws InterruptedException
    {
        supervisor.start("follower", new KeyFollower(store, PREFIX, new Recorder(), events));
        assertThat(listings.poll(3, TimeUnit.SECONDS)).isNotNull();
        keyToFail = PREFIX + "bad";
        store.commit(new StoreTransaction().put(PREFIX + "bad", VALUE));
        store.commit(new StoreTransaction().put(PREFIX + "good", VALUE));
        assertThat(delivered.poll(15, TimeUnit.SECONDS)).isEqualTo(PREFIX + "good");
    }

    @Test
    void eachChangeIsDeliveredOnceWhileTheListenerSucceeds() throws InterruptedException
    {
        supervisor.start("follower", new KeyFollower(store, PREFIX, new Recorder(), events));
        assertThat(listings.poll(3, TimeUnit.SECONDS)).isNotNull();
        store.commit(new StoreTransaction().put(PREFIX + "a", VALUE));
        assertThat(delivered.poll(3, TimeUnit.SECONDS)).isEqualTo(PREFIX + "a");
        store.commit(new StoreTransaction().delete(PREFIX + "a"));
        assertThat(delivered.poll(3, TimeUnit.SECONDS)).isEqualTo("-" + PREFIX + "a");
        assertThat(delivered.poll(500, TimeUnit.MILLISECONDS)).isNull();
    }

    /**
     * Guards against one entry of a listing that the listener always fails on and that hides the
     * others.
     */
    @Test
    void entriesOfListingAfterOneThatAlwaysFailsAreDelivered() throws InterruptedException
    {
        keyToFail = PREFIX + "a";
        store.commit(new StoreTransaction().put(PREFIX + "a", VALUE).put(PREFIX + "b", VALUE));
        supervisor.start("follower", new KeyFollower(store, PREFIX, new Recorder(), events));
        assertThat(delivered.poll(15, TimeUnit.SECONDS)).isEqualTo(PREFIX + "b");
        assertThat(listings.poll(3, TimeUnit.SECONDS)).isNotNull();
        store.commit(new StoreTransaction().put(PREFIX + "c", VALUE));
        assertThat(delivered.poll(3, TimeUnit.SECONDS)).isEqualTo(PREFIX + "c");
    }

    @Test
    void entriesOfListingAreDeliveredAgainAfterTheListenerFails() throws InterruptedException
    {
        deliveriesToFail.set(1);
        store.commit(new StoreTransaction().put(PREFIX + "a", VALUE));
        supervisor.start("follower", new KeyFollower(store, PREFIX, new Recorder(), events));
        assertThat(delivered.poll(3, TimeUnit.SECONDS)).isEqualTo(PREFIX + "a");
    }

    /** Guards against a list that is followed no more because of one entry in it. */
    @Test
    void pollerFollowsTheOtherEntriesAtItsPace() throws InterruptedException
    {
        keyToFail = PREFIX + "a";
        store.commit(new StoreTransaction().put(PREFIX + "a", VALUE).put(PREFIX + "b", VALUE));
        supervisor.start("poller", new KeyPoller(store, PREFIX, POLL_MILLIS, new Recorder(), events));
        assertThat(delivered.poll(15, TimeUnit.SECONDS)).isEqualTo(PREFIX + "b");
        store.commit(new StoreTransaction().put(PREFIX + "c", VALUE).delete(PREFIX + "b"));
        assertThat(TestJobs.waitUntil(3_000, () -> delivered.contains(PREFIX + "c"))).isTrue();
        assertThat(TestJobs.waitUntil(3_000, () -> delivered.contains("-" + PREFIX + "b"))).isTrue();
    }

    /** The entry may have been mended by its writer. */
    @Test
    void newValueOfAnEntryThatWasGivenUpIsDelivered() throws InterruptedException
    {
        keyToFail = PREFIX + "a";
        store.commit(new StoreTransaction().put(PREFIX + "a", VALUE).put(PREFIX + "b", VALUE));
        supervisor.start("poller", new KeyPoller(store, PREFIX, POLL_MILLIS, new Recorder(), events));
        assertThat(delivered.poll(15, TimeUnit.SECONDS)).isEqualTo(PREFIX + "b");
        keyToFail = null;
        store.commit(new StoreTransaction().put(PREFIX + "a", VALUE));
        assertThat(TestJobs.waitUntil(3_000, () -> delivered.contains(PREFIX + "a"))).isTrue();
    }
}
