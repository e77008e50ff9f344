/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against wrong detection of store outages and against watches that miss changes. */
class MonitoredStoreTest
{
    private final AtomicLong clock = new AtomicLong();
    private final HangingStore store = new HangingStore();
    private final MonitoredStore monitored = new MonitoredStore(store,
            new EventLog("test", new HybridClock(System::currentTimeMillis)), clock::get);

    /** A store whose calls fail or hang on demand. */
    private static final class HangingStore extends FakeStore
    {
        private final CountDownLatch released = new CountDownLatch(1);
        private volatile boolean hangs;
        private volatile boolean fails;

        @Override
        public StoreListing list(String prefix)
        {
            if (hangs)
            {
                await();
            }
            if (fails)
            {
                throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
            }
            return super.list(prefix);
        }

        private void await()
        {
            try
            {
                released.await();
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        }
    }

    @AfterEach
    void release()
    {
        store.released.countDown();
    }

    private void advanceClock(long millis)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private void listInBackground() throws InterruptedException
    {
        CountDownLatch sent = new CountDownLatch(1);
        Thread caller = Thread.ofVirtual().start(() ->
        {
            sent.countDown();
            try
            {
                monitored.list("");
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
        sent.await();
        while (caller.getState() != Thread.State.WAITING)
        {
            Thread.sleep(1);
        }
    }

    @Test
    void unansweredCallsMakeTheStoreUnresponsiveBeforeTheyFail() throws InterruptedException
    {
        monitored.list("");
        store.hangs = true;
        listInBackground();
        advanceClock(550);
        assertThat(monitored.isUnresponsive()).isFalse();
        advanceClock(100);
        assertThat(monitored.isUnresponsive()).isTrue();
        assertThat(monitored.isStable()).isFalse();
    }

    @Test
    void oneSlowCallDoesNotMakeTheStoreUnresponsive() throws InterruptedException
    {
        store.hangs = true;
        listInBackground();
        store.hangs = false;
        for (int i = 0; i < 10; i++)
        {
            advanceClock(400);
            monitored.list("");
        }
        assertThat(monitored.isUnresponsive()).isFalse();
    }

    @Test
    void aPauseWithoutCallsDoesNotMakeTheStoreUnresponsive() throws InterruptedException
    {
        monitored.list("");
        advanceClock(5_000);
        assertThat(monitored.isUnresponsive()).isFalse();
        monitored.list("");
        assertThat(monitored.isUnresponsive()).isFalse();
    }

    @Test
    void theNextAnswerEndsTheOutage() throws InterruptedException
    {
        store.fails = true;
        for (int i = 0; i < 2; i++)
        {
            advanceClock(300);
            try
            {
                monitored.list("");
            }
            catch (GaugehollowException e)
            {
                assertThat(e.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
            }
        }
        assertThat(monitored.isUnresponsive()).isTrue();
        store.fails = false;
        monitored.list("");
        assertThat(monitored.isUnresponsive()).isFalse();
    }

    @Test
    void watchesOpenDuringAnOutageAreClosedAfterIt() throws InterruptedException
    {
        CloseCountingStore countingStore = new CloseCountingStore();
        MonitoredStore monitoredCountingStore = new MonitoredStore(countingStore,
                new EventLog("test", new HybridClock(System::currentTimeMillis)), clock::get);
        try (StoreWatch watch = monitoredCountingStore.watch("jobs/", 1))
        {
            countingStore.fails = true;
            for (int i = 0; i < 2; i++)
            {
                advanceClock(300);
                assertThrows(GaugehollowException.class, () -> monitoredCountingStore.list(""));
            }
            assertThat(countingStore.closed.get()).isEqualTo(0);
            countingStore.fails = false;
            monitoredCountingStore.list("");
            assertThat(countingStore.closed.get()).isEqualTo(1);
            monitoredCountingStore.list("");
            assertThat(countingStore.closed.get()).isEqualTo(1);
            assertThat(watch).isNotNull();
        }
    }

    /** A store that counts closed watches and fails on demand. */
    private static final class CloseCountingStore extends FakeStore
    {
        private final AtomicInteger closed = new AtomicInteger();
        private volatile boolean fails;

        @Override
        public StoreListing list(String prefix)
        {
            if (fails)
            {
                throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
            }
            return super.list(prefix);
        }

        @Override
        public StoreWatch watch(String prefix, long fromRevision)
        {
            return new StoreWatch()
            {
                @Override
                public List<StoreChange> poll(int timeoutMillis)
                {
                    return List.of();
                }

                @Override
                public void close()
                {
                    closed.incrementAndGet();
                }
            };
        }
    }
}
