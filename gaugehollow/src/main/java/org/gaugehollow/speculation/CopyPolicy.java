/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speculation;

import org.gaugehollow.urgency.Objective;

/**
 * Decides whether a second run of a task is started beside a slow one.
 * <p>
 * The load that it answers: workers of different speeds, and workers that turn slow or leave a
 * start unanswered while they hold the last tasks of a step. The tasks of a step differ in size by
 * themselves, and a copy of a task that is merely large gains nothing. So the speeds of workers are
 * compared, not the durations of tasks.
 */
public final class CopyPolicy
{
    /** Factor above which a worker counts as slow; the estimates are off by less than this. */
    public static final double MIN_SLOWNESS = 1.6;
    /** Factor up to which a worker is fast enough for a copy. */
    public static final double MAX_TARGET_SLOWNESS = 1.2;
    /** Time until a copy runs, in milliseconds: its placement is stored, then it is sent. */
    private static final double START_MILLIS = 150;
    /** Minimum time that a copy saves, in milliseconds. */
    private static final double MIN_GAIN_MILLIS = 250;
    /** Maximum duration of a copy, as a share of what the run has left. */
    private static final double MAX_COPY_SHARE = 0.7;
    /** Share by which the time to an objective may be misjudged, since it depends on estimates. */
    private static final double OBJECTIVE_TOLERANCE = 0.25;
    /** Share of the cell's capacity that stays free beside copies and what waits. */
    private static final double MIN_SPARE_SHARE = 0.15;
    /** Maximum share of the cell's capacity that copies use. */
    private static final double MAX_COPIES_SHARE = 0.05;

    /** Result of a decision. */
    public enum Verdict
    {
        /** A copy is worth its cost. */
        START,
        /** The worker is not slow. */
        WORKER_NOT_SLOW,
        /** A copy would not end clearly earlier than the run, or other tasks hold the step up as long. */
        NO_GAIN,
        /** The job would not reach its objective, or its last limit, any sooner. */
        NO_BENEFIT,
        /** Failures of both runs could use up the task's attempts. */
        FEW_ATTEMPTS,
        /** The capacity is used by copies or needed by what waits. */
        NO_CAPACITY
    }

    /**
     * A run that may be too slow.
     *
     * @param leftMillis the time until it ends, in milliseconds
     * @param workMillis the duration of the whole task on a typical worker, in milliseconds
     * @param slowness the factor by which work takes longer on its worker than on a typical one
     */
    public record Run(double leftMillis, double workMillis, double slowness)
    {
        /**
         * Creates the description of a run from its progress.
         *
         * @param projectedMillis the duration of the whole run at its current speed, in milliseconds
         * @param doneShare the finished share of the run, 0 to 1
         * @param slowness the factor by which work takes longer on its worker than on a typical one
         * @return the run
         */
        public static Run of(double projectedMillis, double doneShare, double slowness)
        {
            return new Run(projectedMillis * (1 - doneShare), projectedMillis / slowness, slowness);
        }

        /**
         * Creates the description of a run whose start is unanswered.
         *
         * @param estimateMillis the estimated duration of the task, in milliseconds
         * @param maxSettleMillis the time after which the run has certainly ended
         * @return the run
         */
        public static Run unanswered(double estimateMillis, double maxSettleMillis)
        {
            return new Run(maxSettleMillis + estimateMillis, estimateMillis, Double.POSITIVE_INFINITY);
        }

        /** @return the time until a copy on a typical worker would end, in milliseconds */
        public double copyMillis()
        {
            return START_MILLIS + workMillis;
        }

        /** @return the time until the task ends if it is copied where that helps, in milliseconds */
        public double bestMillis()
        {
            return slowness >= MIN_SLOWNESS ? Math.min(leftMillis, copyMillis()) : leftMillis;
        }
    }

    /**
     * The job of the run.
     *
     * @param objectiveMillis the time from its acceptance to its objective, in milliseconds
     * @param elapsedMillis the time since its acceptance, in milliseconds
     * @param othersMillis the time until all other tasks of the step end, in milliseconds
     * @param afterMillis the duration of the rest of the job after the step, in milliseconds
     * @param failures the number of failed runs of the task
     * @param maxAttempts the number of failed runs after which the job fails
     */
    public record Job(double objectiveMillis, double elapsedMillis, double othersMillis, double afterMillis,
            int failures, int maxAttempts)
    {
        private double endMillis(double taskMillis)
        {
            return elapsedMillis + Math.max(taskMillis, othersMillis) + afterMillis;
        }
    }

    /**
     * The capacity of the cell.
     *
     * @param spareShare the share that would be free if the copy ran and all that waits had started
     * @param copiesShare the share that copies would use, including this one
     */
    public record Cell(double spareShare, double copiesShare)
    {
    }

    /**
     * A decision.
     *
     * @param verdict whether to start a copy, or why not
     * @param gainMillis the time by which the step is expected to end earlier, in milliseconds
     */
    public record Decision(Verdict verdict, double gainMillis)
    {
        /** @return whether to start a copy */
        public boolean isStart()
        {
            return verdict == Verdict.START;
        }
    }

    private CopyPolicy()
    {
    }

    /**
     * Decides whether to start a copy.
     *
     * @param run the run
     * @param job its job
     * @param cell the capacity of the cell
     * @return the decision
     */
    public static Decision decide(Run run, Job job, Cell cell)
    {
        double endWithout = job.endMillis(run.leftMillis());
        double endWith = job.endMillis(run.copyMillis());
        double gainMillis = endWithout - endWith;
        return new Decision(verdict(run, job, cell, gainMillis, endWithout, endWith), gainMillis);
    }

    private static Verdict verdict(Run run, Job job, Cell cell, double gainMillis, double endWithout,
            double endWith)
    {
        if (run.slowness() < MIN_SLOWNESS)
        {
            return Verdict.WORKER_NOT_SLOW;
        }
        if (gainMillis < MIN_GAIN_MILLIS || run.copyMillis() > MAX_COPY_SHARE * run.leftMillis())
        {
            return Verdict.NO_GAIN;
        }
        if (!helps(endWithout, endWith, job.objectiveMillis())
                && !helps(endWithout, endWith, Objective.MAX_LATE_FACTOR * job.objectiveMillis()))
        {
            return Verdict.NO_BENEFIT;
        }
        if (job.failures() + 2 >= job.maxAttempts())
        {
            return Verdict.FEW_ATTEMPTS;
        }
        boolean hasCapacity = cell.spareShare() >= MIN_SPARE_SHARE && cell.copiesShare() <= MAX_COPIES_SHARE;
        return hasCapacity ? Verdict.START : Verdict.NO_CAPACITY;
    }

    /** Returns whether a job could miss a limit without the copy and could keep it with the copy. */
    private static boolean helps(double endWithout, double endWith, double limitMillis)
    {
        return endWithout > limitMillis * (1 - OBJECTIVE_TOLERANCE)
                && endWith <= limitMillis * (1 + OBJECTIVE_TOLERANCE);
    }
}
