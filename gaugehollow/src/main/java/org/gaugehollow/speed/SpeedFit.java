/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

/**
 * How slow a worker a step can bear. Answers the load of tight and of generous work on workers of
 * different speed: a step is as late as its slowest task, so tight work must not start on a slow
 * worker while a fast one has capacity, and work that bears slow workers leaves the fast ones to
 * it.
 */
public final class SpeedFit
{
    /** The fit of a step for which speed makes no difference. */
    public static final SpeedFit NEUTRAL = new SpeedFit(Double.POSITIVE_INFINITY, 0, SpeedRange.UNIFORM);

    /** Time that a start and the report of the last end take, in milliseconds. */
    private static final double OVERHEAD_MILLIS = 100;
    /** Factor by which the longest task of a step exceeds the others, without outliers. */
    private static final double UNEVENNESS_FACTOR = 1.25;
    /** Factor by which a run away from its data takes longer. */
    private static final double REMOTE_FACTOR = 2;
    /** Penalty of a worker that is too slow, above the difference between an idle and a full worker. */
    private static final double TOO_SLOW_WEIGHT = 1.1;
    /**
     * Additional penalty of a worker that is slower still; with it, failures of a worker weigh more.
     */
    private static final double EXCESS_WEIGHT = 0.3;
    /** Advantage of the slowest worker over the fastest, as the load by which it may be fuller. */
    private static final double PREFERENCE_WEIGHT = 0.5;

    /**
     * The rest of a step's job, in milliseconds.
     *
     * @param toObjective time until its objective
     * @param toUseless time until the end of the job has no value
     * @param work expected time of the remaining steps on the typical worker
     * @param willMiss whether it misses its objective on any worker
     */
    public record Rest(double toObjective, double toUseless, double work, boolean willMiss)
    {
    }

    private final double maxSlowness;
    private final long spareMillis;
    private final SpeedRange range;

    private SpeedFit(double maxSlowness, long spareMillis, SpeedRange range)
    {
        this.maxSlowness = maxSlowness;
        this.spareMillis = spareMillis;
        this.range = range;
    }

    /**
     * @param range the speeds of the workers
     * @return the fit of a step whose tasks bear any worker
     */
    public static SpeedFit any(SpeedRange range)
    {
        return range.isUniform() ? NEUTRAL : new SpeedFit(Double.POSITIVE_INFINITY, 0, range);
    }

    /**
     * Returns the fit of a step. A job that misses its objective anyway leaves the fast workers to
     * those that can meet theirs, as far as its end still has a value.
     *
     * @param rest the rest of the step's job
     * @param range the speeds of the workers
     * @return the fit
     */
    public static SpeedFit of(Rest rest, SpeedRange range)
    {
        if (range.isUniform())
        {
            return NEUTRAL;
        }
        double leftMillis = (rest.willMiss() ? rest.toUseless() : rest.toObjective()) - OVERHEAD_MILLIS;
        double longestMillis = Math.max(1, rest.work()) * UNEVENNESS_FACTOR;
        double aboutFastest = range.fastest() * (1 + KindSpeed.TOLERANCE);
        double spareMillis = rest.willMiss() ? 0 : leftMillis - aboutFastest * longestMillis;
        return new SpeedFit(Math.max(leftMillis / longestMillis, aboutFastest),
                (long) Math.max(0, spareMillis), range);
    }

    /**
     * @return the time for which the step can wait for a fast worker and still meet the objective of
     *         its job, in milliseconds
     */
    public long spareMillis()
    {
        return spareMillis;
    }

    /**
     * @param worker the speed of a worker
     * @param isRemote whether the worker is away from the data of the step
     * @return whether a run there would miss the objective of the job
     */
    public boolean isTooSlow(WorkerSpeed worker, boolean isRemote)
    {
        return this != NEUTRAL
                && (worker.isSlowedDown() || effectiveSlowness(worker, isRemote) > maxSlowness);
    }

    private static double effectiveSlowness(WorkerSpeed worker, boolean isRemote)
    {
        return worker.slowness() * (isRemote ? REMOTE_FACTOR : 1);
    }

    /**
     * Returns how much a worker's speed adds to its rating for a task of the step. Among workers that
     * are fast enough the slowest rates best.
     *
     * @param worker the speed of the worker
     * @param isRemote whether the worker is away from the data of the step
     * @return the addition, 0 if speed makes no difference; lower is better
     */
    public double rating(WorkerSpeed worker, boolean isRemote)
    {
        if (this == NEUTRAL)
        {
            return 0;
        }
        if (isTooSlow(worker, isRemote))
        {
            double excess = effectiveSlowness(worker, isRemote) / maxSlowness - 1;
            return TOO_SLOW_WEIGHT + EXCESS_WEIGHT * Math.clamp(excess, 0, 1);
        }
        return -PREFERENCE_WEIGHT * slowRank(worker);
    }

    /**
     * @param worker the speed of a worker
     * @return the position of the worker between the fastest (0) and the slowest (1); 0 if speed makes
     *         no difference
     */
    public double slowRank(WorkerSpeed worker)
    {
        double span = Math.log(range.slowest() / range.fastest());
        return span == 0 ? 0 : Math.clamp(Math.log(worker.slowness() / range.fastest()) / span, 0, 1);
    }

    /** @return whether speed makes no difference for the step */
    public boolean isNeutral()
    {
        return this == NEUTRAL;
    }
}
