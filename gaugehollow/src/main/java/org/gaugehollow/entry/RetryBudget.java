/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

/**
 * Bounds the tries after "not run" to a share of the requests, so that failing upstreams do not
 * multiply the load. Thread-safe.
 */
final class RetryBudget
{
    private static final int PERCENT = 100;
    private static final int MOST_SAVED = 50 * PERCENT;

    private final int retryPercent;
    private int saved;

    RetryBudget(int retryPercent)
    {
        this.retryPercent = retryPercent;
        this.saved = MOST_SAVED;
    }

    synchronized void requestArrived()
    {
        saved = Math.min(MOST_SAVED, saved + retryPercent);
    }

    synchronized boolean tryRetry()
    {
        if (saved < PERCENT)
        {
            return false;
        }
        saved -= PERCENT;
        return true;
    }
}
