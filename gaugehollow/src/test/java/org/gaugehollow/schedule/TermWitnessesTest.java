/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against leases that an owner extends although a later one may own the cell. */
@Execution(ExecutionMode.CONCURRENT)
class TermWitnessesTest
{
    private static final String IN_HALL = "127.0.0.1:2";
    private static final String ELSEWHERE = "127.0.0.1:3";
    private static final String OF_EARLIER_OWNER = "127.0.0.1:4";
    private static final long TIMEOUT_MILLIS = 8_000;
    /** Covers several questions to the witnesses. */
    private static final long OBSERVED_MILLIS = 1_500;
    private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final FakeStore store = new FakeStore();
    private final FakeOtherBoxes otherBoxes = new FakeOtherBoxes();
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private long termNanos;
    private OwnerLease lease;
    private EarlierLeases earlierLeases;

    @BeforeEach
    void begin() throws InterruptedException
    {
        long revision = store.commit(new StoreTransaction().put(JobKeys.OWNER, new byte[0])).orElseThrow();
        termNanos = SteadyClock.nanos();
        lease = new OwnerLease("box", revision, 1, OwnerLease.UNKNOWN_FENCE, termNanos);
        earlierLeases = new EarlierLeases(PreviousTerm.BEFORE_FIRST, otherBoxes, lease.fence());
    }

    @AfterEach
    void end()
    {
        lease.end("the test is over");
    }

    private void start()
    {
        TermWitnesses witnesses = new TermWitnesses(store, otherBoxes.witnesses(), lease, earlierLeases,
                events);
        OwnerTerm.inBackground("witnesses", witnesses::run);
    }

    private WitnessRecord stored()
    {
        return WitnessRecord.read(store.get(JobKeys.WITNESSES));
    }

    private void awaitStored(WitnessRecord expected) throws InterruptedException
    {
        confirmUntil(TIMEOUT_MILLIS, () -> stored().equals(expected));
        assertThat(stored()).isEqualTo(expected);
    }

    private void confirmFor(long millis) throws InterruptedException
    {
        confirmUntil(millis, () -> false);
    }

    private void confirmUntil(long millis, BooleanSupplier condition) throws InterruptedException
    {
        TestJobs.waitUntil(millis, () ->
        {
            lease.recordConfirmation(SteadyClock.nanos());
            return condition.getAsBoolean();
        });
    }

    private boolean isBaseRecent()
    {
        return SteadyClock.nanos() - lease.leaseBaseNanos() < RECENT_NANOS;
    }

    @Test
    void witnessVouchesForAnOwnerWithoutTheStore() throws InterruptedException
    {
        otherBoxes.witnesses().add(IN_HALL, true);
        otherBoxes.witnesses().add(ELSEWHERE, false);
        start();
        awaitStored(new WitnessRecord(List.of(IN_HALL, ELSEWHERE), false));
        store.setDown(true);
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(isBaseRecent()).isTrue();
        otherBoxes.witnesses().setSilent(IN_HALL, true);
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(isBaseRecent()).isTrue();
    }

    @Test
    void leasesAreNotExtendedWithoutAnyWord() throws InterruptedException
    {
        otherBoxes.witnesses().add(IN_HALL, true);
        start();
        awaitStored(new WitnessRecord(List.of(IN_HALL), false));
        otherBoxes.witnesses().setSilent(IN_HALL, true);
        long baseNanos = lease.leaseBaseNanos();
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(lease.leaseBaseNanos()).isEqualTo(baseNanos);
    }

    /** The next owner asks only the recorded witnesses. */
    @Test
    void onlyRecordedWitnessesCount() throws InterruptedException
    {
        otherBoxes.witnesses().add(IN_HALL, true);
        start();
        awaitStored(new WitnessRecord(List.of(IN_HALL), false));
        store.setDown(true);
        otherBoxes.witnesses().setSilent(IN_HALL, true);
        otherBoxes.witnesses().add(ELSEWHERE, false);
        confirmFor(OBSERVED_MILLIS);
        long baseNanos = lease.leaseBaseNanos();
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(lease.leaseBaseNanos()).isEqualTo(baseNanos);
    }

    /** The write that replaced the witness took effect, but its answer was lost. */
    @Test
    void witnessThatTheStoredRecordMayNotNameIsNotAsked() throws InterruptedException
    {
        otherBoxes.witnesses().add(IN_HALL, true);
        start();
        awaitStored(new WitnessRecord(List.of(IN_HALL), false));
        store.loseAnswers(Integer.MAX_VALUE);
        otherBoxes.witnesses().add(ELSEWHERE, true);
        otherBoxes.witnesses().remove(IN_HALL);
        awaitStored(new WitnessRecord(List.of(ELSEWHERE), false));
        store.setDown(true);
        otherBoxes.witnesses().add(IN_HALL, true);
        otherBoxes.witnesses().remove(ELSEWHERE);
        confirmFor(OBSERVED_MILLIS);
        long baseNanos = lease.leaseBaseNanos();
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(lease.leaseBaseNanos()).isEqualTo(baseNanos);
    }

    @Test
    void replacedOwnerIsNotVouchedFor() throws InterruptedException
    {
        otherBoxes.witnesses().add(IN_HALL, true);
        start();
        awaitStored(new WitnessRecord(List.of(IN_HALL), false));
        otherBoxes.witnesses().endVouching(IN_HALL, lease.fence() + 1);
        long baseNanos = lease.leaseBaseNanos();
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(lease.leaseBaseNanos()).isEqualTo(baseNanos);
    }

    /** Guards against runs that end in a hall that is cut off with a single box. */
    @Test
    void ownerWithoutABoxInItsHallNeedsNoWitness() throws InterruptedException
    {
        otherBoxes.witnesses().add(ELSEWHERE, false);
        start();
        awaitStored(new WitnessRecord(List.of(), true));
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(isBaseRecent()).isTrue();
        otherBoxes.witnesses().add(IN_HALL, true);
        awaitStored(new WitnessRecord(List.of(IN_HALL, ELSEWHERE), false));
    }

    /** Guards against renewals without witness while the other boxes start or answer slowly. */
    @Test
    void ownerNeedsAWitnessAtTheBeginOfItsTerm() throws InterruptedException
    {
        start();
        awaitStored(WitnessRecord.NONE);
        confirmFor(OBSERVED_MILLIS);
        otherBoxes.witnesses().add(IN_HALL, true);
        otherBoxes.witnesses().setSilent(IN_HALL, true);
        confirmFor(OBSERVED_MILLIS);
        assertThat(stored().unwitnessed()).isFalse();
        otherBoxes.witnesses().setSilent(IN_HALL, false);
        awaitStored(new WitnessRecord(List.of(IN_HALL), false));
    }

    /** Guards against renewals without witness before a later owner can know of them. */
    @Test
    void ownerNeedsAWitnessUntilTheRecordIsStored() throws InterruptedException
    {
        store.setDown(true);
        start();
        Thread.sleep(OBSERVED_MILLIS);
        assertThat(lease.leaseBaseNanos()).isEqualTo(termNanos);
    }

    @Test
    void witnessOfAnEarlierOwnerStaysRecordedUntilItAnswers() throws InterruptedException
    {
        store.commit(new StoreTransaction().put(JobKeys.WITNESSES,
                new WitnessRecord(List.of(OF_EARLIER_OWNER), false).write()));
        otherBoxes.witnesses().add(IN_HALL, true);
        start();
        OwnerTerm.inBackground("earlier", earlierLeases::run);
        awaitStored(new WitnessRecord(List.of(IN_HALL, OF_EARLIER_OWNER), false));
        otherBoxes.witnesses().addUnregistered(OF_EARLIER_OWNER);
        awaitStored(new WitnessRecord(List.of(IN_HALL), false));
    }

    @Test
    void renewalsWithoutWitnessOfAnEarlierOwnerStayRecorded() throws InterruptedException
    {
        store.commit(
                new StoreTransaction().put(JobKeys.WITNESSES, new WitnessRecord(List.of(), true).write()));
        otherBoxes.witnesses().add(IN_HALL, true);
        start();
        awaitStored(new WitnessRecord(List.of(IN_HALL), true));
        assertThat(earlierLeases.endNanos()).isEqualTo(OptionalLong.empty());
    }
}
