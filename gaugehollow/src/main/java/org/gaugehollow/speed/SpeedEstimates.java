/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates how long runs take on each worker relative to the typical worker. Answers the load of a
 * cell whose workers are of kinds of different speed, which shows only in the duration of runs: the
 * tasks of a step are alike, so a run is compared with its step's other runs after these are
 * corrected by the estimates of their own workers. Not thread-safe.
 */
public final class SpeedEstimates
{
    /** Number of runs from which a step's own median is used, instead of its estimate. */
    private static final int MIN_SIBLINGS = 3;
    /** Number of kinds from which those without workers are forgotten. */
    private static final int MAX_KINDS = 64;

    private final Map<String, KindSpeed> kinds = new LinkedHashMap<>();
    private final Set<WorkerSpeed> workers = new HashSet<>();
    private long stepNumber;

    /**
     * Adds a worker or changes its kind. A worker that remains of its kind is unchanged.
     *
     * @param worker the worker
     * @param kind the name of its kind
     */
    public void setKind(WorkerSpeed worker, String kind)
    {
        boolean isNew = workers.add(worker);
        KindSpeed previous = worker.kind();
        if (!isNew && previous.name().equals(kind))
        {
            return;
        }
        if (!isNew)
        {
            previous.addWorkers(-1);
        }
        KindSpeed current = kinds.computeIfAbsent(kind, KindSpeed::new);
        current.addWorkers(1);
        worker.setKind(current);
        if (kinds.size() > MAX_KINDS)
        {
            kinds.values().removeIf(candidate -> candidate.workerCount() == 0);
        }
    }

    /** @param worker a worker that is gone */
    public void remove(WorkerSpeed worker)
    {
        if (workers.remove(worker))
        {
            worker.kind().addWorkers(-1);
        }
    }

    /** Begins an observation of all runs in progress. */
    public void beginObservation()
    {
        workers.forEach(WorkerSpeed::clearRunning);
    }

    /**
     * Learns from the runs of one step, those in progress and those that have ended.
     *
     * @param runs the comparable runs
     * @param estimateMillis the estimate that came with the step
     * @param bias the ratio of durations to the estimates of the step's queue
     * @param isDone whether the step is done; only then its ended runs count for their workers
     * @param nowNanos the monotonic time
     */
    public void observe(List<StepRun> runs, long estimateMillis, EstimateBias bias, boolean isDone,
            long nowNanos)
    {
        if (runs.isEmpty())
        {
            return;
        }
        stepNumber++;
        double logEstimate = Math.log(Math.max(1, estimateMillis));
        double logTypical = logTypicalMillis(runs);
        if (isDone)
        {
            bias.add(logTypical - logEstimate);
        }
        if (runs.size() >= MIN_SIBLINGS)
        {
            boolean areKindsMixed = areKindsMixed(runs);
            runs.forEach(run -> learn(run, run.logMillis() - logTypical, areKindsMixed, isDone, nowNanos));
        }
        else if (bias.isKnown())
        {
            double logExpected = logEstimate + bias.logFactor();
            runs.forEach(run -> learnKind(run, run.logMillis() - logExpected));
        }
    }

    private void learn(StepRun run, double logDuration, boolean areKindsMixed, boolean isDone, long nowNanos)
    {
        if (areKindsMixed)
        {
            learnKind(run, logDuration);
        }
        if (!run.hasEnded())
        {
            run.worker().addRunning(logDuration, stepNumber, run.history(), nowNanos);
        }
        else if (isDone)
        {
            run.worker().addEnded(logDuration, stepNumber, run.startedNanos(), nowNanos);
        }
    }

    private static void learnKind(StepRun run, double logDuration)
    {
        KindSpeed kind = run.worker().kind();
        if (kind != null && !run.history().isCounted() && kind.isTypical(run.worker()))
        {
            kind.add(logDuration);
            run.history().markCounted();
        }
    }

    /** Returns the logarithm of the step's median duration on the typical worker. */
    private static double logTypicalMillis(List<StepRun> runs)
    {
        double[] logMillis = runs.stream().mapToDouble(run -> run.logMillis() - run.worker().logSlowness())
                .toArray();
        return SampleWindow.median(logMillis, logMillis.length);
    }

    /** Returns whether the runs compare kinds; otherwise they say nothing about their kind. */
    private static boolean areKindsMixed(List<StepRun> runs)
    {
        KindSpeed first = runs.getFirst().worker().kind();
        return runs.stream().anyMatch(run -> run.worker().kind() != first);
    }

    /**
     * Updates all estimates after an observation.
     *
     * @param nowNanos the monotonic time
     */
    public void update(long nowNanos)
    {
        double typical = typicalLogSlowness();
        kinds.values().forEach(kind -> kind.normalise(typical));
        workers.forEach(worker -> worker.update(nowNanos));
        kinds.values().forEach(KindSpeed::clearSlowedDown);
        workers.stream().filter(WorkerSpeed::isSlowedDown).forEach(worker -> worker.kind().addSlowedDown());
    }

    /** Returns the estimate of the kind to which the median worker belongs. */
    private double typicalLogSlowness()
    {
        List<KindSpeed> ascending = kinds.values().stream()
                .sorted(Comparator.comparingDouble(KindSpeed::rawLogSlowness)).toList();
        int below = 0;
        for (KindSpeed kind : ascending)
        {
            below += kind.workerCount();
            if (2 * below >= workers.size() && below > 0)
            {
                return kind.rawLogSlowness();
            }
        }
        return 0;
    }

    /** @return the kinds, also those whose workers are gone */
    public Collection<KindSpeed> kinds()
    {
        return kinds.values();
    }
}
