/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.Supervisor;

/** A term of an owner against a platform in memory, confirmed as the election does it. */
final class TestTerm implements AutoCloseable
{
    private static final long LONG_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long CONFIRM_MILLIS = 300;
    private static final String CONFIRMATIONS = "confirmations";
    /** A configuration without customers. */
    private static final CellConfig OPEN = new CellConfig(1, List.of(), List.of("service"), Customers.NONE);

    private final Supervisor supervisor;
    private final OwnerLease lease;
    private final OwnerTerm term;

    /** Begins a term of a box; whoever owned the cell before owns it no more. */
    TestTerm(FakePlatform platform, String box) throws InterruptedException
    {
        this(platform, box, new EventLog(box, new HybridClock(System::currentTimeMillis)),
                LONG_RETENTION_NANOS);
    }

    /**
     * Begins a term of a box; whoever owned the cell before owns it no more.
     *
     * @param platform the platform
     * @param box the box
     * @param events where the term records what happens
     * @param retentionNanos how long records of jobs that are over are kept
     */
    TestTerm(FakePlatform platform, String box, EventLog events, long retentionNanos)
            throws InterruptedException
    {
        this(platform, box, events, retentionNanos, () -> OPEN);
    }

    /** The same, with a configuration that may change; see above. */
    TestTerm(FakePlatform platform, String box, EventLog events, long retentionNanos,
            Supplier<CellConfig> config) throws InterruptedException
    {
        byte[] mark = box.getBytes(StandardCharsets.UTF_8);
        long previousFence = platform.store().get(JobKeys.OWNER).map(StoredValue::modRevision)
                .orElse(OwnerLease.UNKNOWN_FENCE);
        long revision = platform.store()
                .commit(new StoreTransaction().put(JobKeys.OWNER, mark).put(JobKeys.JOURNAL, mark))
                .orElseThrow();
        supervisor = new Supervisor(box, events);
        lease = new OwnerLease(box, revision, 1, previousFence);
        term = new OwnerTerm(platform, lease, events, supervisor.child("term"), config,
                new AdviceDispatcher(platform.advice(), events), new WaitingFirstScore(0.5), retentionNanos);
        confirm();
        term.begin();
    }

    /** The store confirms the term from now on, again and again. */
    void confirm()
    {
        supervisor.start(CONFIRMATIONS, this::confirmForever);
    }

    private void confirmForever() throws InterruptedException
    {
        while (true)
        {
            lease.recordConfirmation();
            Thread.sleep(CONFIRM_MILLIS);
        }
    }

    /** The store confirms the term no more. */
    void stopConfirming()
    {
        supervisor.stop(CONFIRMATIONS);
    }

    OwnerLease lease()
    {
        return lease;
    }

    OwnerTerm term()
    {
        return term;
    }

    /** Its box is gone: it sends and writes nothing any more. */
    @Override
    public void close()
    {
        lease.end("the box is gone");
        term.close();
        supervisor.close();
    }
}
