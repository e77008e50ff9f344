/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.Optional;

/**
 * What is known of a request for which several tries were made. It counts as not run only if every
 * try of it surely changed nothing: one that is under way, or that ended without a clear answer,
 * may be carried out yet. Thread-safe.
 */
public final class TryOutcomes
{
    private int open;
    private GaugehollowException unclear;
    private GaugehollowException newest;

    /**
     * Lets a try begin, unless one has failed before: what is told then must not become untrue by a
     * later try.
     *
     * @return whether the try counts as under way; if not, it must not be made
     */
    public synchronized boolean begin()
    {
        if (newest != null)
        {
            return false;
        }
        open++;
        return true;
    }

    /**
     * A try that was under way ended without an answer.
     *
     * @param failure how it ended
     * @return what is told of the request if no try is answered, once that is decided: when all tries
     *         are over, or one may have been carried out
     */
    public synchronized Optional<GaugehollowException> end(GaugehollowException failure)
    {
        open--;
        add(failure);
        return open == 0 || unclear != null ? Optional.of(failure()) : Optional.empty();
    }

    /**
     * Adds a try that is over.
     *
     * @param failure how it ended
     */
    public synchronized void add(GaugehollowException failure)
    {
        newest = failure;
        if (unclear == null && failure.code().outcome() == Outcome.UNKNOWN)
        {
            unclear = failure;
        }
    }

    /** @return whether the request may have run, or may run yet */
    public synchronized boolean mayRun()
    {
        return open > 0 || unclear != null;
    }

    /**
     * @return what is told of the request as a whole: {@code STORE_OUTCOME_UNKNOWN} if it may run, else
     *         the newest failure
     * @throws IllegalStateException if no try is over
     */
    public synchronized GaugehollowException failure()
    {
        if (newest == null)
        {
            throw new IllegalStateException("no try is over");
        }
        if (!mayRun())
        {
            return newest;
        }
        GaugehollowException told = unclear == null ? newest : unclear;
        String others = open == 0 ? "" : "; tries still under way: " + open;
        return new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, told.getMessage() + others, told);
    }
}
