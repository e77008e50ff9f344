/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.time.SteadyClock;

/**
 * Tells how long the leases may last that earlier owners granted to workers which the present owner
 * can't reach. An owner that can't be reached may go on renewing them until it lacks confirmation
 * for too long. Once its process has certainly ended, only the leases that it left have to expire.
 */
final class EarlierLeases
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Time after which a lease has certainly expired on the slowest clock of a worker. */
    private static final long LEASE_NANOS = TimeUnit.MILLISECONDS
            .toNanos((long) (WorkerSession.LEASE_MILLIS * TrackedWorker.MAX_CLOCK_DRIFT_FACTOR));

    /**
     * Time from the begin of a term after which all leases of earlier terms have certainly expired,
     * whatever has become of their owners.
     */
    static final long MAX_NANOS = OwnerLease.MAX_UNCONFIRMED_NANOS + LEASE_NANOS
            + OwnerTerm.RUN_END_MARGIN_NANOS;

    private final ObservedTerm previousTerm;
    private final OtherBoxes otherBoxes;

    /**
     * @param previousTerm the term before the present one, or {@link ObservedTerm#NONE} if it is
     *            unknown
     * @param otherBoxes tells whether the previous owner has ended
     */
    EarlierLeases(ObservedTerm previousTerm, OtherBoxes otherBoxes)
    {
        this.previousTerm = previousTerm;
        this.otherBoxes = otherBoxes;
    }

    /** Returns the id of the previous owner, empty if it is unknown. */
    String previousOwner()
    {
        return previousTerm.box();
    }

    /**
     * Returns the monotonic time at which all leases of earlier terms have certainly expired, or empty
     * if it isn't proved that the previous owner has ended. Owners before the previous one may have
     * granted leases up to its begin and for {@link #MAX_NANOS} from then.
     */
    OptionalLong endNanos()
    {
        if (previousTerm.fence() == OwnerLease.UNKNOWN_FENCE)
        {
            return OptionalLong.empty();
        }
        OptionalLong processEnd = otherBoxes.endNanos(previousTerm.box());
        boolean isProved = processEnd.isPresent()
                && processEnd.getAsLong() - previousTerm.firstSeenNanos() > 0;
        return isProved
                ? OptionalLong.of(Math.max(processEnd.getAsLong() + LEASE_NANOS,
                        previousTerm.firstSeenNanos() + MAX_NANOS))
                : OptionalLong.empty();
    }

    /** Returns what is known of earlier terms, for the log. */
    String describe()
    {
        String known = previousTerm.fence() == OwnerLease.UNKNOWN_FENCE
                ? "the previous term is not known"
                : "previous term " + previousTerm.fence() + " of " + previousTerm.box() + ", first seen "
                        + (SteadyClock.nanos() - previousTerm.firstSeenNanos()) / NANOS_PER_MILLI
                        + " ms ago";
        return known + "; leases of earlier terms may last " + MAX_NANOS / NANOS_PER_MILLI
                + " ms unless its end is proved";
    }
}
