/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Tells how long the leases may last that earlier owners granted to workers which the present owner
 * can't reach. They count from the last confirmation of an earlier term by the store, or from the
 * last word of a witness. An owner of an earlier version may go on renewing them until it lacks
 * confirmation for too long, unless its term is certainly over.
 */
final class EarlierLeases implements SupervisedTask
{
    /** Time after which a lease has certainly expired on the slowest clock of a worker. */
    private static final long LEASE_NANOS = TimeUnit.MILLISECONDS
            .toNanos((long) (WorkerSession.LEASE_MILLIS * TrackedWorker.MAX_CLOCK_DRIFT_FACTOR));

    /**
     * Time from the begin of a term after which all leases of earlier terms have certainly expired,
     * whatever has become of their owners.
     */
    static final long MAX_NANOS = OwnerLease.MAX_UNCONFIRMED_NANOS + LEASE_NANOS
            + OwnerTerm.RUN_END_MARGIN_NANOS;

    private static final int PROBE_INTERVAL_MILLIS = 100;

    private final PreviousTerm previousTerm;
    private final OtherBoxes otherBoxes;
    private final long fence;
    /** Monotonic time after which the store has confirmed no earlier term. */
    private final long beginNanos = SteadyClock.nanos();
    private final long maxEndNanos = beginNanos + MAX_NANOS;
    private volatile OptionalLong termEndNanos = OptionalLong.empty();
    /** What earlier owners have recorded of their witnesses; null until it is read. */
    private volatile WitnessRecord witnessRecord;
    /** Witnesses that may still vouch for an earlier term. */
    private volatile Set<String> unresolvedWitnesses = Set.of();
    /** Monotonic time since which the other witnesses have vouched for no earlier term. */
    private volatile long vouchEndNanos = beginNanos;
    /** End of the leases that was applied to the workers. */
    private long appliedEndNanos = maxEndNanos;
    /** Whether the end of the previous term was applied to the workers. */
    private boolean termEndApplied;

    /**
     * @param previousTerm the term before the present one, or {@link PreviousTerm#NONE} if it is
     *            unknown
     * @param otherBoxes asks whether the previous term is over, and the witnesses of earlier terms
     * @param fence fencing token of the present term
     */
    EarlierLeases(PreviousTerm previousTerm, OtherBoxes otherBoxes, long fence)
    {
        this.previousTerm = previousTerm;
        this.otherBoxes = otherBoxes;
        this.fence = fence;
    }

    /** Returns whether the record of the witnesses of earlier owners was read. */
    boolean hasWitnessRecord()
    {
        return witnessRecord != null;
    }

    /** Sets what earlier owners have recorded of their witnesses. */
    void setWitnessRecord(WitnessRecord read)
    {
        unresolvedWitnesses = Set.copyOf(read.witnesses());
        witnessRecord = read;
    }

    /** Returns the witnesses of earlier owners that the next owner has to ask. */
    Set<String> unresolvedWitnesses()
    {
        return remainingMillis() > 0 ? unresolvedWitnesses : Set.of();
    }

    /** Returns whether an earlier owner may have renewed leases without witness that still last. */
    boolean mayBeUnwitnessed()
    {
        return witnessRecord.unwitnessed() && remainingMillis() > 0;
    }

    /** Asks for the end of earlier terms until it is known or doesn't matter any more. */
    @Override
    public void run() throws InterruptedException
    {
        while (remainingMillis() > 0 && !(termEndNanos.isPresent() && areWitnessesResolved()))
        {
            askWitnesses();
            if (previousTerm.isOwnerKnown() && termEndNanos.isEmpty())
            {
                termEndNanos = otherBoxes.termEndNanos(previousTerm);
            }
            Thread.sleep(PROBE_INTERVAL_MILLIS);
        }
    }

    private void askWitnesses() throws InterruptedException
    {
        for (String address : unresolvedWitnesses)
        {
            OptionalLong answer = otherBoxes.witnesses().endVouching(address, fence);
            if (answer.isPresent())
            {
                vouchEndNanos = Math.max(vouchEndNanos, answer.getAsLong());
                unresolvedWitnesses = unresolvedWitnesses.stream().filter(other -> !other.equals(address))
                        .collect(Collectors.toUnmodifiableSet());
            }
        }
    }

    private boolean areWitnessesResolved()
    {
        return witnessRecord != null && unresolvedWitnesses.isEmpty();
    }

    /**
     * Shortens the wait for unreachable workers once more is known of the end of earlier terms. The
     * caller holds the lock of the cell state.
     *
     * @param workers the tracked workers
     * @param recorded the leases that the previous owner recorded
     * @param events log for the decision
     * @return whether the wait was shortened now
     */
    boolean limit(TrackedWorkers workers, ExpiringLeases recorded, EventLog events)
    {
        OptionalLong termEnd = termEndNanos;
        OptionalLong end = endNanos();
        boolean isEndKnown = termEnd.isPresent() && !termEndApplied;
        boolean isEarlier = end.isPresent() && end.getAsLong() - appliedEndNanos < 0;
        if (isEarlier)
        {
            appliedEndNanos = end.getAsLong();
            workers.limitUnknownLeases(appliedEndNanos);
        }
        if (isEndKnown)
        {
            termEndApplied = true;
            // The record was written before the term ended.
            workers.limitRecordedLeases(recorded.adoptedLeaseEnds(termEnd.getAsLong()));
        }
        if (isEarlier || isEndKnown)
        {
            events.record(EventType.EARLIER_LEASES_LIMITED, previousTerm.box(),
                    (termEndApplied ? "its term is over" : "no witness vouches for it any more")
                            + "; leases of earlier terms expire in " + remainingMillis() + " ms");
        }
        return isEarlier || isEndKnown;
    }

    /**
     * Returns the monotonic time at which all leases of earlier terms have certainly expired, or empty
     * if it isn't proved that no earlier owner renews them.
     */
    OptionalLong endNanos()
    {
        OptionalLong byOwner = endByOwner();
        OptionalLong byWitnesses = endByWitnesses();
        return byOwner.isPresent() && byWitnesses.isPresent()
                ? OptionalLong.of(Math.min(byOwner.getAsLong(), byWitnesses.getAsLong()))
                : byOwner.isPresent() ? byOwner : byWitnesses;
    }

    /** Returns the end that follows from the end of the previous term. */
    private OptionalLong endByOwner()
    {
        OptionalLong termEnd = termEndNanos;
        if (termEnd.isEmpty())
        {
            return termEnd;
        }
        long ownLeasesEndNanos = termEnd.getAsLong() + LEASE_NANOS;
        return OptionalLong
                .of(Math.max(ownLeasesEndNanos, previousTerm.earlierLeasesEndNanos(termEnd.getAsLong())));
    }

    /**
     * Returns the end that follows from the last confirmation by the store, which was before this term
     * began, and the last word of a witness.
     */
    private OptionalLong endByWitnesses()
    {
        boolean isKnown = previousTerm.bounded() && areWitnessesResolved() && !witnessRecord.unwitnessed();
        return isKnown ? OptionalLong.of(vouchEndNanos + LEASE_NANOS) : OptionalLong.empty();
    }

    /** Returns how long leases of earlier terms may last from now, in milliseconds. */
    long remainingMillis()
    {
        long lastNanos = Math.min(maxEndNanos, endNanos().orElse(maxEndNanos));
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(lastNanos - SteadyClock.nanos()) + 1);
    }

    /** Returns the value of the journal's key for the next owner. */
    JournalMark mark(OwnerLease owner, long write)
    {
        long millis = remainingMillis();
        return new JournalMark(owner.box(), write, owner.fence(), otherBoxes.ownAddress(), millis,
                previousTerm.bounded() || millis == 0);
    }

    /** Returns what is known of earlier terms, for the log. */
    String describe()
    {
        String known = previousTerm.isOwnerKnown()
                ? "previous term " + previousTerm.fence() + " of " + previousTerm.box() + " at "
                        + previousTerm.address() + ", leases of terms before it may last "
                        + TimeUnit.NANOSECONDS.toMillis(previousTerm.earlierLeaseNanos())
                        + " ms from its last write"
                : "the owner of the previous term is not known";
        return known + "; leases of earlier terms may last " + remainingMillis()
                + " ms unless its end is proved" + (previousTerm.bounded() ? " or its witnesses answer" : "");
    }
}
