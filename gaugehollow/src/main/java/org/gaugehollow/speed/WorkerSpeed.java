/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

import java.util.concurrent.TimeUnit;

/**
 * How long runs take on one worker, relative to the typical worker. Answers the load of workers
 * that differ lastingly from their kind, and of workers that turn slow for some seconds. Reading
 * the estimate is a field read, since placement reads it for each pair of a task and a worker. Not
 * thread-safe.
 */
public final class WorkerSpeed
{
    /** Number of latest ended runs from which a worker's lasting difference is estimated. */
    private static final int MAX_ENDED_RUNS = 16;
    /**
     * Number of ended runs at which the worker's own runs weigh as much as the estimate of its kind.
     */
    private static final double KIND_WEIGHT_RUNS = 6;
    /** Factor of a lasting difference from the kind that is ignored. */
    private static final double MIN_LASTING_FACTOR = 1.35;
    /** Factor of a temporary slowdown that is noticed. */
    private static final double MIN_SLOWDOWN_FACTOR = 2;
    /**
     * Number of current runs that show a temporary slowdown, if none of them is on time. Tasks that
     * take long by themselves are few, but remain on their workers for long.
     */
    private static final int MIN_CURRENT_RUNS = 3;
    /** Number of such runs if one of them was on time before. */
    private static final int MIN_TURNED_RUNS = 2;
    /** Number of steps to which these runs belong. */
    private static final int MIN_CURRENT_STEPS = 2;
    /** Time for which an ended run counts as current. */
    private static final long CURRENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time after which a slowdown without further evidence is forgotten. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Maximum number of current runs that are kept. */
    private static final int MAX_CURRENT_RUNS = 24;

    private final SampleWindow endedRuns = new SampleWindow(MAX_ENDED_RUNS);
    private final CurrentRuns running = new CurrentRuns(MAX_CURRENT_RUNS);
    private final CurrentRuns justEnded = new CurrentRuns(MAX_CURRENT_RUNS);
    private KindSpeed kind;
    private double logSlowness;
    private double slowness = 1;
    private double usualLogSlowness;
    private double currentLogSlowness;
    private boolean hasRunTurnedSlow;
    private boolean isSlowedDown;
    private boolean hasBeenSlowedDown;
    /** Time of the newest evidence of a slowdown. Only valid if there was one. */
    private long slowedDownNanos;

    /** Sets the kind and forgets what was learnt, since the worker is another one. */
    void setKind(KindSpeed newKind)
    {
        kind = newKind;
        endedRuns.clear();
        running.clear();
        justEnded.clear();
        isSlowedDown = false;
        hasBeenSlowedDown = false;
        useKind();
    }

    private void useKind()
    {
        logSlowness = kind == null ? 0 : kind.logSlowness();
        slowness = kindSlowness();
    }

    /** Forgets the runs in progress before they are observed again. */
    void clearRunning()
    {
        running.clear();
        hasRunTurnedSlow = false;
    }

    /**
     * Adds a run in progress.
     *
     * @param logDuration logarithm of the run's relative duration
     * @param step number of the step
     * @param history what earlier observations of the run have shown
     * @param nowNanos current monotonic time
     */
    void addRunning(double logDuration, long step, RunHistory history, long nowNanos)
    {
        running.add(logDuration, step, nowNanos);
        if (!isMuchSlower(logDuration))
        {
            history.markOnTime();
        }
        hasRunTurnedSlow |= isMuchSlower(logDuration) && history.wasOnTime();
    }

    /** Returns whether a run takes much longer than usual on the worker. */
    private boolean isMuchSlower(double logDuration)
    {
        return logDuration - usualLogSlowness > Math.log(MIN_SLOWDOWN_FACTOR);
    }

    /**
     * Adds an ended run. Runs during a slowdown don't tell the lasting speed.
     *
     * @param logDuration logarithm of the run's relative duration
     * @param step number of the step
     * @param startedNanos monotonic time of its start
     * @param nowNanos current monotonic time
     */
    void addEnded(double logDuration, long step, long startedNanos, long nowNanos)
    {
        boolean hasSeenSlowdown = hasBeenSlowedDown && startedNanos - slowedDownNanos <= 0;
        if (isSlowedDown || !hasSeenSlowdown)
        {
            justEnded.removeBefore(nowNanos - CURRENT_NANOS);
            justEnded.add(logDuration, step, nowNanos);
        }
        if (!isSlowedDown && !hasSeenSlowdown)
        {
            endedRuns.add(logDuration);
        }
    }

    /** Updates the estimate from the kind and the runs. */
    void update(long nowNanos)
    {
        useKind();
        applyLastingDifference();
        usualLogSlowness = logSlowness;
        justEnded.removeBefore(nowNanos - CURRENT_NANOS);
        CurrentRuns current = CurrentRuns.union(running, justEnded);
        int minRuns = hasRunTurnedSlow ? MIN_TURNED_RUNS : MIN_CURRENT_RUNS;
        if (current.size() >= minRuns && current.stepCount() >= MIN_CURRENT_STEPS)
        {
            applyCurrentRuns(current, nowNanos);
        }
        isSlowedDown = isSlowedDown && nowNanos - slowedDownNanos < FORGET_NANOS;
        if (isSlowedDown)
        {
            logSlowness = currentLogSlowness;
            slowness = Math.exp(currentLogSlowness);
        }
    }

    private void applyCurrentRuns(CurrentRuns current, long nowNanos)
    {
        boolean isMuchSlower = isMuchSlower(current.fastest());
        if (isMuchSlower && !isSlowedDown)
        {
            // they ended before the slowdown
            justEnded.clear();
        }
        isSlowedDown = isMuchSlower;
        if (isMuchSlower)
        {
            currentLogSlowness = current.median();
            slowedDownNanos = nowNanos;
            hasBeenSlowedDown = true;
        }
    }

    private void applyLastingDifference()
    {
        int count = endedRuns.size();
        double weight = count / (count + KIND_WEIGHT_RUNS);
        double difference = weight * (endedRuns.median() - logSlowness);
        if (Math.abs(difference) > Math.log(MIN_LASTING_FACTOR))
        {
            logSlowness += difference;
            slowness = Math.exp(logSlowness);
        }
    }

    /** Returns the kind, or null if the worker was never listed. */
    KindSpeed kind()
    {
        return kind;
    }

    /** Returns the logarithm of the relative duration. */
    double logSlowness()
    {
        return logSlowness;
    }

    /** @return the relative duration of a run on the worker; 1 if unknown or about typical */
    public double slowness()
    {
        return slowness;
    }

    /** @return the relative duration of a run on workers of its kind; 1 if unknown or about typical */
    public double kindSlowness()
    {
        return kind == null ? 1 : kind.slowness();
    }

    /** @return whether the worker is much slower now than it is otherwise */
    public boolean isSlowedDown()
    {
        return isSlowedDown;
    }
}
