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
import org.gaugehollow.model.Json;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.urgency.StopCosts;

/** Runs a term of an owner on an in-memory platform and confirms it as the election does. */
final class TestTerm implements AutoCloseable
{
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long CONFIRM_MILLIS = 300;
    private static final String CONFIRMATIONS = "confirmations";
    /** Configuration without customers. */
    static final CellConfig CONFIG = new CellConfig(1, List.of(), List.of("service"), Customers.NONE);

    private final FakeOtherBoxes otherBoxes = new FakeOtherBoxes();
    private final Supervisor supervisor;
    private final OwnerLease lease;
    private final OwnerTerm term;

    /** Begins a term of a box, which replaces the previous owner. */
    TestTerm(FakePlatform platform, String box) throws InterruptedException
    {
        this(platform, box, new EventLog(box, new HybridClock(System::currentTimeMillis)), RETENTION_NANOS);
    }

    /**
     * Begins a term of a box, which replaces the previous owner.
     *
     * @param platform the platform
     * @param box id of the box
     * @param events log for the events of the term
     * @param retentionNanos time for which records of finished jobs are kept, in nanoseconds
     */
    TestTerm(FakePlatform platform, String box, EventLog events, long retentionNanos)
            throws InterruptedException
    {
        this(platform, box, events, retentionNanos, () -> CONFIG);
    }

    /** Begins a term with a configuration that may change. */
    TestTerm(FakePlatform platform, String box, EventLog events, long retentionNanos,
            Supplier<CellConfig> config) throws InterruptedException
    {
        byte[] ownerValue = box.getBytes(StandardCharsets.UTF_8);
        long previousFence = platform.store().get(JobKeys.OWNER).map(StoredValue::modRevision)
                .orElse(OwnerLease.UNKNOWN_FENCE);
        long revision = platform.store().commit(new StoreTransaction().put(JobKeys.OWNER, ownerValue)
                .put(JobKeys.JOURNAL, Json.write(JournalMark.first(box, FakeOtherBoxes.ADDRESS, false))))
                .orElseThrow();
        supervisor = new Supervisor(box, events);
        lease = new OwnerLease(box, revision, 1, previousFence, SteadyClock.nanos());
        EarlierLeases earlierLeases = new EarlierLeases(PreviousTerm.NONE, otherBoxes, revision);
        term = new OwnerTerm(platform, lease, earlierLeases, otherBoxes.witnesses(), events,
                supervisor.child("term"), config, new AdviceDispatcher(platform.advice(), events),
                new WaitingFirstScore(0.5), StopCosts.DEFAULT, new StoppedWork(StopCosts.DEFAULT),
                new CopyStatistics(), retentionNanos);
        startConfirming();
        term.begin();
    }

    /** Starts confirming the term periodically. */
    void startConfirming()
    {
        supervisor.start(CONFIRMATIONS, this::confirmPeriodically);
    }

    private void confirmPeriodically() throws InterruptedException
    {
        while (true)
        {
            lease.recordRenewal();
            lease.recordConfirmation(SteadyClock.nanos());
            Thread.sleep(CONFIRM_MILLIS);
        }
    }

    /** Stops confirming the term. */
    void stopConfirming()
    {
        supervisor.stop(CONFIRMATIONS);
    }

    FakeOtherBoxes otherBoxes()
    {
        return otherBoxes;
    }

    OwnerLease lease()
    {
        return lease;
    }

    OwnerTerm term()
    {
        return term;
    }

    /** Ends the term as if its box had stopped. */
    @Override
    public void close()
    {
        lease.end("box has stopped");
        term.close();
        supervisor.close();
    }
}
