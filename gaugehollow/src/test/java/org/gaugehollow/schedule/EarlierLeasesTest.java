/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.Json;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Tests how long leases of earlier owners may last, by what is known of the previous term. */
class EarlierLeasesTest
{
    private static final String OWNER = "bole-1";
    private static final String WITNESS = "127.0.0.1:2";
    private static final String OTHER_WITNESS = "127.0.0.1:3";
    private static final long FENCE = 7;
    private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(WorkerSession.LEASE_MILLIS);
    private static final long MAX_MILLIS = TimeUnit.NANOSECONDS.toMillis(EarlierLeases.MAX_NANOS);
    /** Time for several questions to the previous owner. */
    private static final long PROBING_MILLIS = 500;
    private static final long DOWNTIME_MILLIS = 1_000;

    private final FakeOtherBoxes otherBoxes = new FakeOtherBoxes();

    private EarlierLeases earlierLeases(long earlierLeaseNanos)
    {
        return earlierLeases(earlierLeaseNanos, true);
    }

    private EarlierLeases earlierLeases(long earlierLeaseNanos, boolean served)
    {
        return new EarlierLeases(new PreviousTerm(FENCE, OWNER, FakeOtherBoxes.ADDRESS, earlierLeaseNanos,
                SteadyClock.nanos(), served, false), otherBoxes, FENCE + 1);
    }

    private static OptionalLong probe(EarlierLeases leases) throws InterruptedException
    {
        Thread probing = OwnerTerm.inBackground("probing", leases::run);
        probing.join(PROBING_MILLIS);
        probing.interrupt();
        return leases.endNanos();
    }

    private long ownerEndNanos()
    {
        return otherBoxes.termEndNanos(new PreviousTerm(FENCE, OWNER, "", 0, 0, true, false)).orElseThrow();
    }

    @Test
    void leasesOfEndedTermExpireOneLeaseAfterItsEnd() throws InterruptedException
    {
        otherBoxes.end(OWNER);
        EarlierLeases leases = earlierLeases(0);
        long leaseNanos = probe(leases).orElseThrow() - ownerEndNanos();
        assertThat(leaseNanos).isAtLeast(LEASE_NANOS);
        assertThat(leaseNanos).isLessThan(LEASE_NANOS + LEASE_NANOS / 10);
        assertThat(leases.remainingMillis())
                .isAtMost(TimeUnit.NANOSECONDS.toMillis(LEASE_NANOS + LEASE_NANOS / 10));
    }

    /** Guards against two runs of a task, because an owner that may run counts as ended. */
    @Test
    void nothingIsKnownOfAnOwnerThatMayRun() throws InterruptedException
    {
        otherBoxes.end("bole-2");
        EarlierLeases leases = earlierLeases(0);
        assertThat(probe(leases)).isEqualTo(OptionalLong.empty());
        assertThat(leases.remainingMillis()).isGreaterThan(MAX_MILLIS - TimeUnit.SECONDS.toMillis(5));
    }

    /** Guards against two runs of a task, because the owner before the previous one may still run. */
    @Test
    void ownersBeforeThePreviousOneAreWaitedFor() throws InterruptedException
    {
        EarlierLeases leases = earlierLeases(EarlierLeases.MAX_NANOS);
        otherBoxes.end(OWNER);
        long readNanos = SteadyClock.nanos();
        assertThat(probe(leases).orElseThrow()).isAtMost(readNanos + EarlierLeases.MAX_NANOS);
        assertThat(leases.endNanos().getAsLong())
                .isGreaterThan(readNanos + EarlierLeases.MAX_NANOS - TimeUnit.SECONDS.toNanos(1));
    }

    /** Guards against waiting for as long again as no box was there. */
    @Test
    void waitForOwnersBeforeThePreviousOneCountsFromItsEnd() throws InterruptedException
    {
        otherBoxes.end(OWNER);
        Thread.sleep(DOWNTIME_MILLIS);
        long endNanos = probe(earlierLeases(EarlierLeases.MAX_NANOS)).orElseThrow();
        assertThat(endNanos).isEqualTo(ownerEndNanos() + EarlierLeases.MAX_NANOS);
    }

    /** Guards against two runs of a task, because a term may begin after its owner has ended. */
    @Test
    void termThatBeganLateTellsOfEarlierOnesFromWhenItIsRead() throws InterruptedException
    {
        otherBoxes.end(OWNER);
        Thread.sleep(DOWNTIME_MILLIS);
        long beforeReadNanos = SteadyClock.nanos();
        long endNanos = probe(earlierLeases(EarlierLeases.MAX_NANOS, false)).orElseThrow();
        assertThat(endNanos).isAtLeast(beforeReadNanos + EarlierLeases.MAX_NANOS);
    }

    @Test
    void nothingIsKnownOfAnUnknownOwner() throws InterruptedException
    {
        otherBoxes.end(PreviousTerm.NONE.box());
        assertThat(probe(new EarlierLeases(PreviousTerm.NONE, otherBoxes, FENCE + 1)))
                .isEqualTo(OptionalLong.empty());
        assertThat(probe(new EarlierLeases(PreviousTerm.ofFence(FENCE), otherBoxes, FENCE + 1)))
                .isEqualTo(OptionalLong.empty());
    }

    /**
     * Guards against two runs of a task, because a term that has just begun tells nothing of those
     * before it.
     */
    @Test
    void termThatHasJustBegunLeavesTheLongestWait()
    {
        long nowNanos = SteadyClock.nanos();
        StoredValue journal = value(Json.write(JournalMark.first(OWNER, FakeOtherBoxes.ADDRESS, true)));
        PreviousTerm term = JournalMark.readTerm(journal, nowNanos);
        assertThat(term.fence()).isEqualTo(FENCE);
        assertThat(term.box()).isEqualTo(OWNER);
        assertThat(term.readNanos()).isEqualTo(nowNanos);
        assertThat(term.served()).isFalse();
        assertThat(term.earlierLeaseNanos()).isAtLeast(TimeUnit.MILLISECONDS.toNanos(MAX_MILLIS));
    }

    /** Guards against two runs of a task, because a missing time counts as none. */
    @Test
    void marksOfEarlierVersionsNameNoOwner()
    {
        StoredValue mark = value(
                "{\"box\":\"bole-1\",\"write\":3,\"fence\":5}".getBytes(StandardCharsets.UTF_8));
        assertThat(JournalMark.readTerm(mark, 0)).isEqualTo(PreviousTerm.ofFence(5));
        StoredValue first = value("bole-1/8f2e".getBytes(StandardCharsets.UTF_8));
        assertThat(JournalMark.readTerm(first, 0)).isEqualTo(PreviousTerm.ofFence(FENCE));
    }

    private EarlierLeases boundedLeases(WitnessRecord witnesses)
    {
        EarlierLeases leases = new EarlierLeases(new PreviousTerm(FENCE, OWNER, FakeOtherBoxes.ADDRESS,
                EarlierLeases.MAX_NANOS, SteadyClock.nanos(), true, true), otherBoxes, FENCE + 1);
        leases.setWitnessRecord(witnesses);
        return leases;
    }

    /** Guards against waiting 14.5 s for an owner whose machine is gone for good. */
    @Test
    void answersOfAllWitnessesBoundTheLeasesOfAnOwnerThatIsGone() throws InterruptedException
    {
        otherBoxes.witnesses().add(WITNESS, true);
        otherBoxes.witnesses().add(OTHER_WITNESS, false);
        EarlierLeases leases = boundedLeases(new WitnessRecord(List.of(WITNESS, OTHER_WITNESS), false));
        long beginNanos = SteadyClock.nanos();
        assertThat(probe(leases).orElseThrow()).isAtMost(beginNanos + LEASE_NANOS + LEASE_NANOS / 10);
        assertThat(leases.unresolvedWitnesses()).isEmpty();
    }

    /** Guards against two runs of a task, because a witness vouched after the term had begun. */
    @Test
    void leasesCountFromTheLastWordOfAWitness() throws InterruptedException
    {
        otherBoxes.witnesses().add(WITNESS, true);
        EarlierLeases leases = boundedLeases(new WitnessRecord(List.of(WITNESS), false));
        Thread.sleep(DOWNTIME_MILLIS);
        assertThat(otherBoxes.witnesses().vouch(WITNESS, FENCE).vouches()).isTrue();
        assertThat(probe(leases).orElseThrow())
                .isAtLeast(otherBoxes.witnesses().lastVouchNanos(WITNESS) + LEASE_NANOS);
        assertThat(otherBoxes.witnesses().vouch(WITNESS, FENCE).vouches()).isFalse();
    }

    /** Guards against two runs of a task, because a witness that doesn't answer may vouch. */
    @Test
    void witnessWithoutAnAnswerLeavesTheLongestWait() throws InterruptedException
    {
        otherBoxes.witnesses().add(WITNESS, true);
        EarlierLeases leases = boundedLeases(new WitnessRecord(List.of(WITNESS, OTHER_WITNESS), false));
        assertThat(probe(leases)).isEqualTo(OptionalLong.empty());
        assertThat(leases.unresolvedWitnesses()).containsExactly(OTHER_WITNESS);
        assertThat(leases.remainingMillis()).isGreaterThan(MAX_MILLIS - TimeUnit.SECONDS.toMillis(5));
    }

    @Test
    void ownerThatNeedsNoWitnessLeavesTheLongestWait() throws InterruptedException
    {
        assertThat(probe(boundedLeases(new WitnessRecord(List.of(), true)))).isEqualTo(OptionalLong.empty());
        EarlierLeases unread = boundedLeases(
                WitnessRecord.read(Optional.of(value("?".getBytes(StandardCharsets.UTF_8)))));
        assertThat(probe(unread)).isEqualTo(OptionalLong.empty());
    }

    /** Guards against two runs of a task, because earlier versions renew leases without witness. */
    @Test
    void ownerOfAnEarlierVersionLeavesTheLongestWait() throws InterruptedException
    {
        EarlierLeases leases = earlierLeases(EarlierLeases.MAX_NANOS);
        leases.setWitnessRecord(WitnessRecord.NONE);
        assertThat(probe(leases)).isEqualTo(OptionalLong.empty());
    }

    /**
     * Guards against counting recorded leases from the read although the end of their owner is known.
     */
    @Test
    void recordedLeasesCountFromTheOwnersEndThoughTheWitnessesAnsweredBefore() throws InterruptedException
    {
        otherBoxes.end(OWNER);
        Thread.sleep(DOWNTIME_MILLIS);
        FakeStore store = new FakeStore();
        store.commit(new StoreTransaction().put(JobKeys.EXPIRING_LEASES,
                Json.write(new ExpiringLeases.LeaseRecord(FENCE, Map.of("w1", WorkerSession.LEASE_MILLIS)))));
        CellState cellState = new CellState(SteadyClock::nanos, EarlierLeases.MAX_NANOS);
        EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
        ExpiringLeases recorded = new ExpiringLeases(store, cellState,
                new OwnerLease("box", FENCE + 1, 1, FENCE, SteadyClock.nanos()), events);
        recorded.read();
        TrackedWorker worker = cellState.trackedWorkers().get("w1");
        EarlierLeases leases = boundedLeases(WitnessRecord.NONE);
        assertThat(leases.limit(cellState.trackedWorkers(), recorded, events)).isTrue();
        probe(leases);
        assertThat(leases.limit(cellState.trackedWorkers(), recorded, events)).isTrue();
        assertThat(worker.leaseEndNanos()).isEqualTo(ownerEndNanos() + LEASE_NANOS);
    }

    private static StoredValue value(byte[] bytes)
    {
        return new StoredValue("journal", bytes, FENCE);
    }
}
