/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

/**
 * Ratio of the duration on the typical worker to the estimates that come with the work of one
 * queue.
 */
public final class EstimateBias
{
    /** Number of steps from which the ratio is used. */
    private static final int MIN_STEPS = 5;
    private static final int MAX_STEPS = 64;
    /** Maximum deviation of the ratio from 1, as a factor. */
    private static final double MAX_FACTOR = 4;

    private final SampleWindow steps = new SampleWindow(MAX_STEPS);

    /** Adds the logarithm of the ratio for one step. */
    void add(double logRatio)
    {
        steps.add(logRatio);
    }

    /** Returns whether the ratio is known. */
    boolean isKnown()
    {
        return steps.size() >= MIN_STEPS;
    }

    /** Returns the logarithm of the ratio, 0 if it is not known. */
    double logFactor()
    {
        double limit = Math.log(MAX_FACTOR);
        return isKnown() ? Math.clamp(steps.median(), -limit, limit) : 0;
    }

    /** @return the ratio, 1 if it is not known */
    public double factor()
    {
        return Math.exp(logFactor());
    }
}
