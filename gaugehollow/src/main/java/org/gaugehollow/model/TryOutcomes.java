/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.Optional;

/**
 * Combined outcome of several attempts at one request. The request counts as not run only if every
 * attempt certainly changed nothing; an attempt that is in progress, or that ended with an unknown
 * outcome, may still take effect. Thread-safe.
 */
public final class TryOutcomes
{
    private int attemptsInProgress;
    private GaugehollowException firstUnknown;
    private GaugehollowException lastFailure;

    /**
     * Begins an attempt, unless one has failed before: a later attempt must not invalidate the failure
     * that was reported.
     *
     * @return whether the attempt may be made
     */
    public synchronized boolean begin()
    {
        if (lastFailure != null)
        {
            return false;
        }
        attemptsInProgress++;
        return true;
    }

    /**
     * Ends an attempt that got no answer.
     *
     * @param failure how the attempt failed
     * @return failure of the whole request, if it is decided: all attempts have ended, or one has an
     *         unknown outcome
     */
    public synchronized Optional<GaugehollowException> end(GaugehollowException failure)
    {
        attemptsInProgress--;
        add(failure);
        return attemptsInProgress == 0 || firstUnknown != null ? Optional.of(failure()) : Optional.empty();
    }

    /**
     * Adds an attempt that has failed.
     *
     * @param failure how the attempt failed
     */
    public synchronized void add(GaugehollowException failure)
    {
        lastFailure = failure;
        if (firstUnknown == null && failure.code().outcome() == Outcome.UNKNOWN)
        {
            firstUnknown = failure;
        }
    }

    /** @return whether the request may have run or may still run */
    public synchronized boolean mayRun()
    {
        return attemptsInProgress > 0 || firstUnknown != null;
    }

    /**
     * @return failure of the whole request: {@code STORE_OUTCOME_UNKNOWN} if it may have run or may
     *         still run, otherwise the latest failure
     * @throws IllegalStateException if no attempt has failed
     */
    public synchronized GaugehollowException failure()
    {
        if (lastFailure == null)
        {
            throw new IllegalStateException("no attempt has failed");
        }
        if (!mayRun())
        {
            return lastFailure;
        }
        GaugehollowException cause = firstUnknown == null ? lastFailure : firstUnknown;
        String suffix = attemptsInProgress == 0 ? "" : "; attempts still in progress: " + attemptsInProgress;
        return new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, cause.getMessage() + suffix, cause);
    }
}
