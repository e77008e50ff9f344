/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which box becomes the owner and when a suspected owner is replaced. */
class OwnerElectionTest
{
    private static final String OTHER = "bole-1";
    private static final int CLOCK_SPEED = 20;

    private final EventLog events = new EventLog("bole-2", new HybridClock(System::currentTimeMillis));
    private final LateStore store = new LateStore();
    private final FakePlatform platform = new FakePlatform(store);
    private final FakeOwnerProbe probe = new FakeOwnerProbe(OTHER, "bole-3", "bole-4");
    private final Supervisor supervisor = new Supervisor("test", events);
    private final FakeOtherBoxes otherBoxes = new FakeOtherBoxes();
    private OwnerElection election;

    @AfterEach
    void stop()
    {
        supervisor.close();
    }

    private long acquireForOther() throws InterruptedException
    {
        long lease = platform.fakeStore().grantLease(60_000);
        byte[] term = (OTHER + "/term").getBytes(StandardCharsets.UTF_8);
        platform.store()
                .commit(new StoreTransaction().put(JobKeys.OWNER, term, lease).put(JobKeys.JOURNAL, term));
        return lease;
    }

    private void startElection()
    {
        OwnerMonitor monitor = new OwnerMonitor(probe, () -> true, owner -> false,
                () -> SteadyClock.nanos() * CLOCK_SPEED);
        election = TestElections.start("bole-2", platform, new CellConfig(1, List.of()), monitor, otherBoxes,
                supervisor, events);
    }

    private StoredValue ownerKey()
    {
        return platform.fakeStore().get(JobKeys.OWNER).orElseThrow();
    }

    @Test
    void ownerSuspectedByMajorityIsReplacedBeforeLeaseEnds() throws InterruptedException
    {
        acquireForOther();
        long before = ownerKey().modRevision();
        probe.setOwnerUnresponsive("bole-3", true);
        probe.setOwnerUnresponsive("bole-4", true);
        startElection();
        assertThat(TestJobs.waitUntil(3_000, () -> election.isOwner())).isTrue();
        assertThat(ownerKey().modRevision()).isGreaterThan(before);
        assertThat(new String(ownerKey().value(), StandardCharsets.UTF_8)).startsWith("bole-2/");
    }

    /** Guards against a dead owner that nobody suspects because a probe failed unexpectedly before. */
    @Test
    void deadOwnerIsSuspectedAfterAProbeFailedUnexpectedly() throws InterruptedException
    {
        acquireForOther();
        probe.setOwnerUnresponsive("bole-3", true);
        probe.setOwnerUnresponsive("bole-4", true);
        probe.failCalls(1);
        startElection();
        assertThat(TestJobs.waitUntil(4_000, () -> election.isOwner())).isTrue();
    }

    @Test
    void responsiveOwnerStaysUntilItsKeyIsRemoved() throws InterruptedException
    {
        long lease = acquireForOther();
        probe.setOwner(OTHER, 100);
        startElection();
        assertThat(TestJobs.waitUntil(800, () -> election.isOwner())).isFalse();
        platform.fakeStore().revokeLease(lease);
        assertThat(TestJobs.waitUntil(3_000, () -> election.isOwner())).isTrue();
    }

    @Test
    void outrankedBoxLetsAnotherBoxAcquireFirst() throws InterruptedException
    {
        otherBoxes.setOutranked(true);
        startElection();
        assertThat(TestJobs.waitUntil(200, () -> election.isOwner())).isFalse();
        acquireForOther();
        probe.setOwner(OTHER, 100);
        assertThat(TestJobs.waitUntil(800, () -> election.isOwner())).isFalse();
    }

    @Test
    void longerRunningBoxDelaysItsAttempt() throws InterruptedException
    {
        otherBoxes.setLongerRunning(true);
        startElection();
        assertThat(TestJobs.waitUntil(40, () -> election.isOwner())).isFalse();
        assertThat(TestJobs.waitUntil(3_000, () -> election.isOwner())).isTrue();
    }

    @Test
    void outrankedBoxAcquiresIfNoOtherBoxDoes() throws InterruptedException
    {
        otherBoxes.setOutranked(true);
        startElection();
        assertThat(TestJobs.waitUntil(3_000, () -> election.isOwner())).isTrue();
    }

    /**
     * Guards against serving a term whose write had an unknown outcome and takes effect late; the cell
     * must get an owner once the lease of that term has expired.
     */
    @Test
    void lateTermIsNotServedAndExpiresWithItsLease() throws InterruptedException
    {
        store.delayNextWriteOf(JobKeys.OWNER);
        startElection();
        store.awaitLateWrite();
        assertThat(TestJobs.waitUntil(6_000, () -> election.isOwner())).isTrue();
        StoredValue key = ownerKey();
        assertThat(new String(key.value(), StandardCharsets.UTF_8)).startsWith("bole-2/");
        assertThat(TestJobs.waitUntil(1_500, () -> !election.isOwner())).isFalse();
        assertThat(ownerKey().modRevision()).isEqualTo(key.modRevision());
    }

    /**
     * Guards against two runs of a task, because an owner that was replaced while its lease lives takes
     * the renewals of that lease for confirmations of its term.
     */
    @Test
    void replacedOwnerWhoseLeaseLivesEndsItsTerm() throws InterruptedException
    {
        startElection();
        assertThat(TestJobs.waitUntil(3_000, () -> election.isOwner())).isTrue();
        probe.setOwner(OTHER, 100);
        acquireForOther();
        assertThat(TestJobs.waitUntil(3_000, () -> !election.isOwner())).isTrue();
    }

    @Test
    void ownerReleasesOwnershipToHigherRankedBox() throws InterruptedException
    {
        startElection();
        assertThat(TestJobs.waitUntil(3_000, () -> election.isOwner())).isTrue();
        otherBoxes.setOutranked(true);
        assertThat(TestJobs.waitUntil(10_000, () -> !election.isOwner())).isTrue();
        assertThat(platform.fakeStore().get(JobKeys.OWNER)).isEmpty();
    }
}
