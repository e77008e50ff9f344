/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.StoreFollower;
import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpClient;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.platform.EtcdStore;
import org.gaugehollow.platform.HttpWorkerRoster;
import org.gaugehollow.platform.StoreBudget;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.standin.FaultProxy;
import org.gaugehollow.standin.PlatformStandin;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against waiting forever on connections to the platform that have fallen silent. */
class SilentPlatformTest
{
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int CALLS_PER_SECOND = 1_000;
    private static final int SETTLE_MILLIS = 1_000;
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int POLL_MILLIS = 20;

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private PlatformStandin platform;
    private FaultProxy proxy;
    private HttpClient client;
    private EtcdStore store;
    private EtcdStore directStore;

    @BeforeEach
    void start() throws IOException
    {
        platform = new PlatformStandin(loops, new InetSocketAddress("127.0.0.1", 0), 0);
        proxy = new FaultProxy(new InetSocketAddress("127.0.0.1", 0), platform.address());
        client = new HttpClient(loops, proxy.address());
        store = storeOver(client);
        directStore = storeOver(new HttpClient(loops, platform.address()));
    }

    private static EtcdStore storeOver(HttpClient client)
    {
        return new EtcdStore(client, new StoreBudget(CALLS_PER_SECOND, CALLS_PER_SECOND, SteadyClock::nanos),
                new Metrics(), TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException
    {
        store.close();
        directStore.close();
        proxy.close();
        platform.close();
        loops.close();
    }

    private void write(String name) throws InterruptedException
    {
        assertThat(directStore.commit(new StoreTransaction().put(StoreKeys.CONFIG_PREFIX + name,
                "{}".getBytes(StandardCharsets.UTF_8))).isPresent()).isTrue();
    }

    private static boolean awaitEntry(ConfigCache cache, String name) throws InterruptedException
    {
        long deadline = SteadyClock.nanos() + MAX_WAIT_NANOS;
        while (cache.get(name).isEmpty() && SteadyClock.nanos() - deadline < 0)
        {
            Thread.sleep(POLL_MILLIS);
        }
        return cache.get(name).isPresent();
    }

    @Test
    void aChangeArrivesAfterTheWatchHasFallenSilent() throws InterruptedException
    {
        ConfigCache cache = new ConfigCache();
        StoreFollower follower = new StoreFollower(store, cache, () -> true, events);
        Thread following = Thread.ofVirtual().start(() -> runUntilInterrupted(follower));
        try
        {
            write("first");
            assertThat(awaitEntry(cache, "first")).isTrue();
            Thread.sleep(SETTLE_MILLIS);
            proxy.silenceConnections();
            write("second");
            assertThat(awaitEntry(cache, "second")).isTrue();
        }
        finally
        {
            following.interrupt();
            following.join();
        }
    }

    private static void runUntilInterrupted(StoreFollower follower)
    {
        try
        {
            follower.run();
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void theSecondReadReachesTheStore() throws InterruptedException
    {
        assertThat(store.get("a")).isEmpty();
        proxy.silenceConnections();
        assertThat(assertThrows(GaugehollowException.class, () -> store.get("a")).code())
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(store.get("a")).isEmpty();
    }

    @Test
    void theSecondReadReachesTheWorkerList() throws InterruptedException
    {
        HttpWorkerRoster roster = new HttpWorkerRoster(client, "/v1/workers", TIMEOUT_MILLIS);
        assertThat(roster.read()).isEmpty();
        proxy.silenceConnections();
        assertThat(assertThrows(GaugehollowException.class, roster::read).code())
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(roster.read()).isEmpty();
    }
}
