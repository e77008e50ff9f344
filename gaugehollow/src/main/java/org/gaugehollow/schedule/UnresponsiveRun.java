/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.job.CrashHistory.Attribution;

/**
 * A run on a worker that is unresponsive or has crashed.
 *
 * @param task the task, which may have another run elsewhere
 * @param run the run number
 * @param hasStarted whether the worker is known to have started the run
 * @param restoredUnseen whether no worker has reported the run since a change of owner
 * @param durationMillis run time in milliseconds until the connection to the worker was lost, or
 *            the observed run time if no connection was lost
 */
record UnresponsiveRun(Task task, int run, boolean hasStarted, boolean restoredUnseen, long durationMillis)
{
    /** Creates a record of the newest run of a task, or of its copy, on a worker. */
    static UnresponsiveRun of(Task task, TrackedWorker worker)
    {
        long elapsedMillis = worker.hasLostConnection()
                ? task.millisSinceStart(worker.unresponsiveSinceNanos())
                : task.observedMillis();
        return new UnresponsiveRun(task.task(), task.run(), task.hasStarted(), task.isRestoredUnseen(),
                Math.max(elapsedMillis, task.observedMillis()));
    }

    /** Returns how far a crash of the worker is attributed to the task. */
    Attribution attribution()
    {
        if (!hasStarted)
        {
            return Attribution.UNPROVEN;
        }
        return hadJustStarted() ? Attribution.AT_START : Attribution.LATER;
    }

    /** Returns whether the run may have crashed its worker at its start. */
    boolean hadJustStarted()
    {
        return durationMillis < CrashGuard.STARTUP_MILLIS;
    }
}
