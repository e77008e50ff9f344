/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.platform.StoreTransaction;
import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** Guards against answering requests from a stale configuration during and after a store outage. */
class FreshConfigServiceTest
{
    private static final HttpMessage REQUEST = new HttpMessage("GET", "/q/", "", new DefaultHttpHeaders(),
            new byte[0]);
    private static final String KEY = "config";

    private final FakeStore store = new FakeStore();
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final AtomicLong clock = new AtomicLong();
    private final MonitoredStore monitored = new MonitoredStore(store, events, clock::get);
    private final AtomicReference<String> config = new AtomicReference<>("");
    private final ConfigProbe probe = new ConfigProbe(monitored, KEY, new KeyFollower.Listener()
    {
        @Override
        public void onPut(String key, byte[] value, long revision)
        {
            config.set(new String(value, StandardCharsets.UTF_8));
        }

        @Override
        public void onRemoved(String key, long revision)
        {
            throw new AssertionError("unexpected removal");
        }

        @Override
        public void onListed(long revision)
        {
            throw new AssertionError("unexpected listing");
        }
    });
    private final CallerService service = new FreshConfigService(request -> HttpReply.json(200, config.get()),
            probe);

    private void write(String value) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(KEY, value.getBytes(StandardCharsets.UTF_8)));
    }

    private void makeStoreUnresponsive()
    {
        store.setDown(true);
        clock.addAndGet(TimeUnit.SECONDS.toNanos(1));
        for (int i = 0; i < 2; i++)
        {
            assertThrows(GaugehollowException.class, () -> monitored.get("other"));
        }
        assertThat(monitored.isUnresponsive()).isTrue();
    }

    private ResultCode failureCode()
    {
        return assertThrows(GaugehollowException.class, () -> service.answer(REQUEST)).code();
    }

    @Test
    void requestsAreRejectedWhileStoreIsUnresponsive() throws InterruptedException
    {
        assertThat(service.answer(REQUEST).status()).isEqualTo(200);
        makeStoreUnresponsive();
        assertThat(failureCode()).isEqualTo(ResultCode.CONFIG_MAY_BE_OLD);
    }

    /** Guards against accepting jobs with a removed API key before the watch has caught up. */
    @Test
    void requestsAreRejectedAfterOutageUntilConfigIsRead() throws InterruptedException
    {
        write("old");
        probe.read();
        makeStoreUnresponsive();
        probe.read();
        store.setDown(false);
        write("new");
        monitored.get("other");
        assertThat(monitored.isUnresponsive()).isFalse();
        assertThat(failureCode()).isEqualTo(ResultCode.CONFIG_MAY_BE_OLD);
        probe.read();
        assertThat(service.answer(REQUEST).status()).isEqualTo(200);
        assertThat(config.get()).isEqualTo("new");
    }

    @Test
    void eachOutageRequiresNewConfigRead() throws InterruptedException
    {
        makeStoreUnresponsive();
        store.setDown(false);
        probe.read();
        assertThat(service.answer(REQUEST).status()).isEqualTo(200);
        makeStoreUnresponsive();
        store.setDown(false);
        monitored.get("other");
        assertThat(failureCode()).isEqualTo(ResultCode.CONFIG_MAY_BE_OLD);
    }
}
