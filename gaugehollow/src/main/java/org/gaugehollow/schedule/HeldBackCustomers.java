/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Collects the customers that are held back by their shares in a planning round: a step of theirs
 * lacks capacity, and a step of another customer that ranks behind it regardless of shares was
 * placed before it.
 */
final class HeldBackCustomers
{
    /** The start of a step. */
    private record Start(String customer, int rank, double share)
    {
    }

    private final Map<String, String> descriptions = new HashMap<>();
    private Start lastRanked;
    /** The start of the highest rank by any other customer than that of {@link #lastRanked}. */
    private Start lastRankedOfOthers;

    /** Begins an urgency class; steps of different classes are not compared. */
    void beginClass()
    {
        lastRanked = null;
        lastRankedOfOthers = null;
    }

    /**
     * Records that tasks of a step were started.
     *
     * @param customer the step's customer
     * @param rank the step's rank regardless of shares
     * @param share the weighted share at which it competed
     */
    void onStarted(String customer, int rank, double share)
    {
        Start start = new Start(customer, rank, share);
        if (lastRanked == null || rank > lastRanked.rank())
        {
            lastRankedOfOthers = lastRanked == null || lastRanked.customer().equals(customer)
                    ? lastRankedOfOthers
                    : lastRanked;
            lastRanked = start;
        }
        else if (!lastRanked.customer().equals(customer)
                && (lastRankedOfOthers == null || rank > lastRankedOfOthers.rank()))
        {
            lastRankedOfOthers = start;
        }
    }

    /**
     * Records that tasks of a step lack capacity after all steps that were placed before.
     *
     * @param customer the step's customer
     * @param rank the step's rank regardless of shares
     * @param share the weighted share at which it competed
     */
    void onWaiting(String customer, int rank, double share)
    {
        boolean isOwn = lastRanked != null && lastRanked.customer().equals(customer);
        Start other = isOwn ? lastRankedOfOthers : lastRanked;
        if (other != null && other.rank() > rank)
        {
            descriptions.putIfAbsent(CustomerSnapshot.labelOf(customer), String.format(Locale.ROOT,
                    "uses %.2f of its part; a younger job of %s, which uses %.2f of its own, goes first",
                    share, CustomerSnapshot.labelOf(other.customer()), other.share()));
        }
    }

    /** Returns a description of the first held-back step by customer. */
    Map<String, String> descriptions()
    {
        return descriptions;
    }
}
