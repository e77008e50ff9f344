/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.job.CrashHistory.Attribution;

/**
 * A run on a worker that does not answer or has crashed.
 *
 * @param task its task, which may have another run elsewhere by now
 * @param run its number
 * @param hasBegun whether the worker is known to have had it
 * @param lastedMillis how long it was at work, in milliseconds: until the connection to its worker
 *            broke, or for as long as it was seen where nothing broke
 */
record UnresponsiveRun(Task task, int run, boolean hasBegun, long lastedMillis)
{
    /** The newest run of a task on a worker. */
    static UnresponsiveRun of(Task task, TrackedWorker slot)
    {
        long lasted = slot.hasLostConnection()
                ? task.millisUntil(slot.unresponsiveSinceNanos())
                : task.seenMillis();
        return new UnresponsiveRun(task, task.run(), task.hasBegun(), Math.max(lasted, task.seenMillis()));
    }

    /** What it says of its task that the worker crashed. */
    Attribution attribution()
    {
        if (!hasBegun)
        {
            return Attribution.UNPROVEN;
        }
        return hadJustStarted() ? Attribution.AT_START : Attribution.LATER;
    }

    /** Whether it may have crashed its worker by its start. */
    boolean hadJustStarted()
    {
        return lastedMillis < CrashGuard.TRIAL_MILLIS;
    }
}
