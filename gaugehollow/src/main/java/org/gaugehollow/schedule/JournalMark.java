/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.StoredValue;

/**
 * The value of the journal's key: the term that wrote it last. It outlives the term, so that the
 * next owner knows whom to ask for its end, and for how long earlier terms matter.
 *
 * @param box id of the box that wrote it
 * @param write number of the write, which increases with each write; 0 in the transaction that
 *            begins a term
 * @param fence fencing token of the box's term, or {@link OwnerLease#UNKNOWN_FENCE} in the
 *            transaction that begins the term, whose revision is the token
 * @param address address at which other boxes reach the box; null if written by an earlier version
 * @param earlierLeaseMillis time from the write until leases granted in earlier terms have
 *            certainly expired, in milliseconds; null if written by an earlier version
 * @param bounded whether leases granted in this and earlier terms count from the last confirmation
 *            by the store or word of a recorded witness; null if written by an earlier version
 */
record JournalMark(String box, long write, long fence, String address, Long earlierLeaseMillis,
        Boolean bounded)
{
    /**
     * Returns the value for the transaction that begins a term.
     *
     * @param bounded whether the leases of earlier terms are bounded
     */
    static JournalMark first(String box, String address, boolean bounded)
    {
        return new JournalMark(box, 0, OwnerLease.UNKNOWN_FENCE, address,
                TimeUnit.NANOSECONDS.toMillis(EarlierLeases.MAX_NANOS), bounded);
    }

    /**
     * Returns the term that wrote the journal's key last. If the value can't be read, only the fencing
     * token is known: earlier versions write a value of another form in the transaction that begins a
     * term.
     *
     * @param journal the journal's key
     * @param nowNanos monotonic time after the read
     */
    static PreviousTerm readTerm(StoredValue journal, long nowNanos)
    {
        try
        {
            return Json.read(journal.value(), JournalMark.class, ResultCode.STORE_BAD_ANSWER)
                    .toTerm(journal.modRevision(), nowNanos);
        }
        catch (GaugehollowException e)
        {
            return PreviousTerm.ofFence(journal.modRevision());
        }
    }

    private PreviousTerm toTerm(long revision, long nowNanos)
    {
        boolean isFirst = fence == OwnerLease.UNKNOWN_FENCE;
        long termFence = isFirst ? revision : fence;
        if (address == null || earlierLeaseMillis == null)
        {
            return PreviousTerm.ofFence(termFence);
        }
        return new PreviousTerm(termFence, box, address, TimeUnit.MILLISECONDS.toNanos(earlierLeaseMillis),
                nowNanos, !isFirst, Boolean.TRUE.equals(bounded));
    }
}
