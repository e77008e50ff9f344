/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.speed.RunHistory;
import org.gaugehollow.speed.WorkerSpeed;

/**
 * The circumstances of a task's latest run that matter for the comparison of its speed with other
 * runs of the step. Kept after the run has ended. Guarded by the lock of the cell state.
 */
final class RunSpeed
{
    private final RunObservation observation;
    private WorkerSpeed worker;
    private boolean resumed;
    private boolean remote;
    private RunHistory history = new RunHistory();

    RunSpeed(RunObservation observation)
    {
        this.observation = observation;
    }

    /**
     * Begins a newly planned run.
     *
     * @param target the worker
     * @param hasCheckpoint whether the run does only the rest of the work
     * @param step the step
     */
    void begin(TrackedWorker target, boolean hasCheckpoint, Step step)
    {
        worker = target.speed();
        resumed = hasCheckpoint;
        remote = target.entry() == null ? step.hasAffinity() : step.lacksAffinity(target.entry());
        history = new RunHistory();
    }

    /** Marks a run whose beginning this owner has not seen. */
    void markResumed()
    {
        resumed = true;
    }

    /** Returns the speed of the worker, or null before the first run. */
    WorkerSpeed worker()
    {
        return worker;
    }

    /**
     * Returns the duration of the whole work on the worker, projected if the run is in progress, for a
     * comparison with other runs of the step; 0 if it is unknown or not comparable.
     */
    double comparableMillis(Task task)
    {
        if (remote || task.speedLimitPercent() < Task.FULL_PERCENT)
        {
            return 0;
        }
        if (task.phase() == Task.Phase.DONE)
        {
            return resumed ? 0 : task.runMillis();
        }
        boolean isKnown = !resumed || observation.hasEarlierSample();
        return task.phase() == Task.Phase.RUNNING && isKnown ? task.projectedMillis() : 0;
    }

    /** Returns what earlier observations of the run have shown. */
    RunHistory history()
    {
        return history;
    }
}
