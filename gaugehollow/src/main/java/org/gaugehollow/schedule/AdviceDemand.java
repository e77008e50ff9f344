/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.AdviceSpec;

/**
 * The number of a step's tasks that a call to the advice service is made for: the waiting tasks or,
 * if none waits, those that are released before the tickets of the call expire, because their
 * worker doesn't answer and its lease expires. A call for waiting tasks is not made longer for
 * others.
 */
final class AdviceDemand
{
    private AdviceDemand()
    {
    }

    /** Returns the number of tasks that a call for a step is made for if it is made now. */
    static int countTasks(Step step, long nowNanos)
    {
        int waiting = step.waitingTasks().size();
        return waiting > 0 ? waiting : countReleased(step, nowNanos);
    }

    private static int countReleased(Step step, long nowNanos)
    {
        AdviceSpec advice = step.job().queue().adviceIfNeeded().orElseThrow();
        double untilExpiryMillis = advice.expectedMillis(AdviceSpec.TYPICAL_WORKERS) + advice.validMillis();
        long expiryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos((long) untilExpiryMillis);
        return (int) step.tasks().stream().filter(task -> isReleasedBy(task, expiryNanos)).count();
    }

    private static boolean isReleasedBy(Task task, long nanos)
    {
        return task.waitsOnceReleased() && !task.worker().isResponsive()
                && task.worker().releaseNanos() - nanos <= 0;
    }
}
