/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

/**
 * When to request advice for a step whose predecessors still run, or whose tasks are on lost
 * workers. Answers slow advice: a step that is asked about only when it is due waits for a whole
 * call.
 */
public final class PrefetchWindow
{
    /** Time for the call to wait for a channel and for the next plan, in milliseconds. */
    private static final long MARGIN_MILLIS = 250;
    /** Factor by which a run may take longer than estimated. */
    private static final double ESTIMATE_TOLERANCE = 1.5;

    private PrefetchWindow()
    {
    }

    /**
     * Returns whether to request the advice now: the answer is needed soon and its tickets are still
     * valid when the step begins, even if the estimate is too low.
     *
     * @param remainingMillis estimated time until the step begins, in milliseconds
     * @param callMillis expected duration of the call, in milliseconds
     * @param validMillis validity of the tickets, in milliseconds
     * @return whether the call is due
     */
    public static boolean isDue(long remainingMillis, double callMillis, long validMillis)
    {
        boolean isNeededSoon = remainingMillis <= callMillis + MARGIN_MILLIS;
        return isNeededSoon && ESTIMATE_TOLERANCE * remainingMillis <= callMillis + validMillis;
    }
}
