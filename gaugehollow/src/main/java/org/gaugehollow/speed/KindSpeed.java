/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

/**
 * How long runs take on the workers of one kind, relative to the typical worker. Not thread-safe.
 */
public final class KindSpeed
{
    /** Number of runs from which the estimate is used. */
    static final int MIN_RUNS = 12;
    /** Relative difference from the typical worker that is ignored. */
    static final double TOLERANCE = 0.15;
    /** Number of standard errors by which a difference must exceed the tolerance. */
    private static final double MIN_STANDARD_ERRORS = 2;
    /** Number of latest runs from which a kind is estimated. */
    private static final int MAX_RUNS = 256;

    private final String name;
    private final SampleWindow runs = new SampleWindow(MAX_RUNS);
    private int workerCount;
    private int slowedDownCount;
    private double logSlowness;
    private double slowness = 1;

    KindSpeed(String name)
    {
        this.name = name;
    }

    /** Adds the logarithm of a run's relative duration. */
    void add(double logDuration)
    {
        runs.add(logDuration);
    }

    /** Begins to count the workers that are slowed down. */
    void clearSlowedDown()
    {
        slowedDownCount = 0;
    }

    /** Counts a worker that is slowed down. */
    void addSlowedDown()
    {
        slowedDownCount++;
    }

    /**
     * Returns whether a worker's runs show the speed of the kind. A slowdown of half of the workers is
     * the speed of the kind, which is not known yet or has changed.
     */
    boolean isTypical(WorkerSpeed worker)
    {
        return !worker.isSlowedDown() || 2 * slowedDownCount >= workerCount;
    }

    /** Returns the estimate before normalisation. */
    double rawLogSlowness()
    {
        return runs.size() < MIN_RUNS ? 0 : runs.median();
    }

    /** Sets the estimate relative to the typical worker. */
    void normalise(double typicalLogSlowness)
    {
        logSlowness = runs.size() < MIN_RUNS ? 0 : runs.median() - typicalLogSlowness;
        boolean isTypical = Math.abs(logSlowness) <= Math.log1p(TOLERANCE)
                + MIN_STANDARD_ERRORS * runs.medianStandardError();
        slowness = isTypical ? 1 : Math.exp(logSlowness);
    }

    void addWorkers(int change)
    {
        workerCount += change;
    }

    /** @return the labels that the workers of the kind share */
    public String name()
    {
        return name;
    }

    /** @return the number of runs from which the kind is estimated */
    public int runCount()
    {
        return runs.size();
    }

    /** @return the number of workers of the kind */
    public int workerCount()
    {
        return workerCount;
    }

    /**
     * @return the logarithm of the relative duration, also if it is close to that of the typical worker
     */
    double logSlowness()
    {
        return logSlowness;
    }

    /** @return the relative duration of a run; 1 if unknown or close to that of the typical worker */
    public double slowness()
    {
        return slowness;
    }
}
