/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;

import org.gaugehollow.job.StepSpec;
import org.gaugehollow.speed.SpeedFit;
import org.gaugehollow.speed.SpeedRange;

/**
 * Determines for each step of a planning round how slow a worker it can bear, from the objective of
 * its job. Guarded by the lock of the cell state.
 */
final class SpeedNeeds
{
    private final SpeedMonitor speeds;
    private SpeedRange range = SpeedRange.UNIFORM;

    SpeedNeeds(SpeedMonitor speeds)
    {
        this.speeds = speeds;
    }

    /** Starts a planning round with the given workers. */
    void beginRound(Collection<TrackedWorker> workers)
    {
        range = SpeedRange.of(workers.stream().map(TrackedWorker::speed).toList());
    }

    /**
     * Returns the fit of a step. Speed makes no difference for best-effort tasks, which use only idle
     * CPU time, for serving tasks, whose latency has its own control, and for jobs without an
     * objective.
     */
    SpeedFit fit(Step step, long wallMillis)
    {
        StepSpec spec = step.spec();
        if (range.isUniform() || spec.fills() || spec.targetMillis() > 0)
        {
            return SpeedFit.NEUTRAL;
        }
        if (spec.longRunning())
        {
            return SpeedFit.any(range);
        }
        Job job = step.job();
        return job.hasObjective() ? SpeedFit.of(rest(step, job, wallMillis), range) : SpeedFit.NEUTRAL;
    }

    private SpeedFit.Rest rest(Step step, Job job, long wallMillis)
    {
        long toObjectiveMillis = job.millisToObjective(step.round(), wallMillis);
        double workMillis = job.remainingMillis(step.round()) * speeds.bias(step).factor();
        return new SpeedFit.Rest(toObjectiveMillis, job.millisToUseless(step.round(), wallMillis), workMillis,
                job.willMissObjective(wallMillis));
    }
}
