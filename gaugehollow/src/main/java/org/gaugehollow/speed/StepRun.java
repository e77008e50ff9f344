/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

/**
 * A run of a task that is comparable with the other runs of its step.
 *
 * @param worker the worker of the run
 * @param millis duration of the whole run, projected if it has not ended
 * @param startedNanos monotonic time of its start
 * @param hasEnded whether it has ended
 * @param history what earlier observations have shown
 */
public record StepRun(WorkerSpeed worker, double millis, long startedNanos, boolean hasEnded,
        RunHistory history)
{
    /** Returns the logarithm of the duration. */
    double logMillis()
    {
        return Math.log(Math.max(1, millis));
    }
}
