/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

/**
 * Limits retries to a percentage of the requests, so that failing upstreams do not multiply the
 * load. Thread-safe.
 */
final class RetryBudget
{
    /** Balance that a retry costs; each request adds {@code retryPercent}. */
    private static final int RETRY_COST = 100;
    private static final int MAX_BALANCE = 50 * RETRY_COST;

    private final int retryPercent;
    private int balance;

    RetryBudget(int retryPercent)
    {
        this.retryPercent = retryPercent;
        this.balance = MAX_BALANCE;
    }

    synchronized void recordRequest()
    {
        balance = Math.min(MAX_BALANCE, balance + retryPercent);
    }

    synchronized boolean tryAcquire()
    {
        if (balance < RETRY_COST)
        {
            return false;
        }
        balance -= RETRY_COST;
        return true;
    }
}
