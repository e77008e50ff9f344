/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Tells how long the leases may last that earlier owners granted to workers which the present owner
 * can't reach. An owner that can't be reached may go on renewing them until it lacks confirmation
 * for too long. Once its term is certainly over, only the leases that it left have to expire.
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
    private final long maxEndNanos = SteadyClock.nanos() + MAX_NANOS;
    private volatile OptionalLong termEndNanos = OptionalLong.empty();
    /** Whether the end of the previous term was applied to the workers. */
    private boolean limited;

    /**
     * @param previousTerm the term before the present one, or {@link PreviousTerm#NONE} if it is
     *            unknown
     * @param otherBoxes asks whether the previous term is over
     */
    EarlierLeases(PreviousTerm previousTerm, OtherBoxes otherBoxes)
    {
        this.previousTerm = previousTerm;
        this.otherBoxes = otherBoxes;
    }

    /** Asks for the end of the previous term until it is known or doesn't matter any more. */
    @Override
    public void run() throws InterruptedException
    {
        while (previousTerm.isOwnerKnown() && remainingMillis() > 0)
        {
            termEndNanos = otherBoxes.termEndNanos(previousTerm);
            if (termEndNanos.isPresent())
            {
                return;
            }
            Thread.sleep(PROBE_INTERVAL_MILLIS);
        }
    }

    /**
     * Shortens the wait for unreachable workers once the previous term is certainly over. The caller
     * holds the lock of the cell state.
     *
     * @param workers the tracked workers
     * @param recorded the leases that the previous owner recorded
     * @param events log for the decision
     * @return whether the wait was shortened now
     */
    boolean limit(TrackedWorkers workers, ExpiringLeases recorded, EventLog events)
    {
        OptionalLong termEnd = termEndNanos;
        if (limited || termEnd.isEmpty())
        {
            return false;
        }
        limited = true;
        workers.limitUnknownLeases(endNanos().getAsLong());
        // The record was written before the term ended.
        workers.limitRecordedLeases(recorded.adoptedLeaseEnds(termEnd.getAsLong()));
        events.record(EventType.EARLIER_LEASES_LIMITED, previousTerm.box(),
                "its term is over; leases of earlier terms expire in " + remainingMillis() + " ms");
        return true;
    }

    /**
     * Returns the monotonic time at which all leases of earlier terms have certainly expired, or empty
     * if it isn't proved that the previous term is over.
     */
    OptionalLong endNanos()
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

    /** Returns how long leases of earlier terms may last from now, in milliseconds. */
    long remainingMillis()
    {
        long lastNanos = Math.min(maxEndNanos, endNanos().orElse(maxEndNanos));
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(lastNanos - SteadyClock.nanos()) + 1);
    }

    /** Returns the value of the journal's key for the next owner. */
    JournalMark mark(OwnerLease owner, long write)
    {
        return new JournalMark(owner.box(), write, owner.fence(), otherBoxes.ownAddress(), remainingMillis());
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
                + " ms unless its end is proved";
    }
}
