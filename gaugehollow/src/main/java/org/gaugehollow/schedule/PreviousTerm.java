/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Optional;

import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.time.SteadyClock;

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
 * @param bounded whether leases granted in this and earlier terms count from the last confirmation
 *            by the store or word of a recorded witness; false for owners of earlier versions
 */
public record PreviousTerm(long fence, String box, String address, long earlierLeaseNanos, long readNanos,
        boolean served, boolean bounded)
{
    private static final String UNKNOWN = "";

    /** Stands for an unknown term. */
    static final PreviousTerm NONE = ofFence(OwnerLease.UNKNOWN_FENCE);

    /** Stands for the term before the first one, in which no lease was granted. */
    static final PreviousTerm BEFORE_FIRST = new PreviousTerm(OwnerLease.UNKNOWN_FENCE, UNKNOWN, UNKNOWN, 0,
            0, false, true);

    /** Returns a term of which only the fencing token is known. */
    static PreviousTerm ofFence(long fence)
    {
        return new PreviousTerm(fence, UNKNOWN, UNKNOWN, 0, 0, false, false);
    }

    /**
     * Returns the term before the one to begin, as far as the journal tells.
     *
     * @param journal the journal's key, if it exists
     * @param replacedRevision revision of the replaced owner's key, or 0 if there is no owner
     */
    static PreviousTerm read(Optional<StoredValue> journal, long replacedRevision)
    {
        boolean hasOwner = replacedRevision != 0;
        if (journal.isEmpty())
        {
            return hasOwner ? ofFence(replacedRevision) : BEFORE_FIRST;
        }
        PreviousTerm recorded = JournalMark.readTerm(journal.get(), SteadyClock.nanos());
        return hasOwner && recorded.fence() != replacedRevision ? ofFence(replacedRevision) : recorded;
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
