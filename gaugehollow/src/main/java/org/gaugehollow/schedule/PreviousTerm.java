/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * The term before the present one, as recorded in the store.
 *
 * @param fence fencing token, or {@link OwnerLease#UNKNOWN_FENCE} if no term is known
 * @param box id of the owner; empty if it isn't known
 * @param address address at which other boxes reached the owner; empty if it isn't known
 * @param earlierLeaseNanos time from the write of the record until leases granted in terms before
 *            that one have certainly expired, in nanoseconds; only valid if the address is known
 * @param readNanos monotonic time after the record was read
 * @param served whether the owner wrote the record after it knew of its term; the transaction that
 *            begins a term may be carried out late, after the owner has ended
 */
public record PreviousTerm(long fence, String box, String address, long earlierLeaseNanos, long readNanos,
        boolean served)
{
    private static final String UNKNOWN = "";

    /** Stands for an unknown term. */
    static final PreviousTerm NONE = ofFence(OwnerLease.UNKNOWN_FENCE);

    /** Returns a term of which only the fencing token is known. */
    static PreviousTerm ofFence(long fence)
    {
        return new PreviousTerm(fence, UNKNOWN, UNKNOWN, 0, 0, false);
    }

    /** Returns whether the owner and its address are known. */
    boolean isOwnerKnown()
    {
        return !address.equals(UNKNOWN);
    }

    /**
     * Returns the monotonic time at which leases granted in terms before this one have certainly
     * expired.
     *
     * @param termEndNanos monotonic time by which this term was over; an owner that served it had
     *            written the record before
     */
    long earlierLeasesEndNanos(long termEndNanos)
    {
        long writtenNanos = served ? Math.min(readNanos, termEndNanos) : readNanos;
        return writtenNanos + earlierLeaseNanos;
    }
}
