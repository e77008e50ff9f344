/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Tests the published counts of waiting jobs. */
class SummaryWriterTest
{
    private final FakeStore store = new FakeStore();

    @Test
    void countsAreRemovedWithOwnerLease() throws InterruptedException
    {
        long lease = store.grantLease(1_000);
        long revision = store.commit(new StoreTransaction().put(JobKeys.OWNER, new byte[]{'o'}, lease))
                .orElseThrow();
        OwnerLease owner = new OwnerLease("bole-1", revision, lease, OwnerLease.UNKNOWN_FENCE,
                SteadyClock.nanos());
        CellState cellState = new CellState(SteadyClock::nanos, 0);
        Thread writer = OwnerTerm.inBackground("summary", new SummaryWriter(store, cellState, owner)::run);
        long end = SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(5);
        while (store.get(JobKeys.SUMMARY).isEmpty() && SteadyClock.nanos() < end)
        {
            Thread.sleep(5);
        }
        assertThat(store.get(JobKeys.SUMMARY)).isPresent();
        owner.end("test");
        writer.join();
        store.revokeLease(lease);
        assertThat(store.get(JobKeys.SUMMARY)).isEmpty();
    }
}
