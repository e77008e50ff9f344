/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Protects the latency targets of serving tasks that share a worker with best-effort tasks.
 * Best-effort tasks are throttled as soon as a serving task approaches its target, and are allowed
 * to speed up again step by step.
 */
final class ThrottleController
{
    private static final int[] SPEED_LIMITS_PERCENT = {0, 25, 50, 100};
    private static final double SLOW_DOWN_RATIO = 0.85;
    private static final double SPEED_UP_RATIO = 0.55;
    private static final long MIN_SPEED_UP_INTERVAL_NANOS = 2_000_000_000L;

    /**
     * A change of a speed limit that is to be sent.
     *
     * @param task the best-effort task
     * @param run the run number
     * @param percent the new limit in percent of full speed
     */
    record SpeedLimitChange(Task task, int run, int percent)
    {
    }

    private ThrottleController()
    {
    }

    /**
     * Returns whether best-effort and serving tasks share the worker, which then needs frequent
     * heartbeats.
     */
    static boolean isShared(TrackedWorker worker)
    {
        boolean hasServing = false;
        boolean hasBestEffort = false;
        for (Task task : worker.tasks())
        {
            hasServing |= task.step().spec().targetMillis() > 0;
            hasBestEffort |= task.step().spec().fills();
        }
        return hasServing && hasBestEffort;
    }

    /**
     * Adjusts the speed limits of a worker after a heartbeat.
     *
     * @return the changes to send, and the limits to send again
     */
    static List<SpeedLimitChange> adjust(TrackedWorker worker, long nowNanos)
    {
        double worstRatio = 0;
        for (Task task : worker.tasks())
        {
            long targetMillis = task.step().spec().targetMillis();
            if (targetMillis > 0)
            {
                worstRatio = Math.max(worstRatio, task.gauge() / targetMillis);
            }
        }
        List<SpeedLimitChange> changes = new ArrayList<>();
        for (Task task : worker.tasks())
        {
            if (task.step().spec().fills() && task.phase() == Task.Phase.RUNNING)
            {
                adjust(task, worstRatio, nowNanos, changes);
            }
        }
        return changes;
    }

    private static void adjust(Task task, double worstRatio, long nowNanos, List<SpeedLimitChange> changes)
    {
        int level = level(task.speedLimitPercent());
        if (worstRatio > SLOW_DOWN_RATIO && level > 0)
        {
            level = worstRatio > 1 ? 0 : level - 1;
        }
        else if (worstRatio < SPEED_UP_RATIO && level < SPEED_LIMITS_PERCENT.length - 1
                && nowNanos - task.speedLimitSetNanos() > MIN_SPEED_UP_INTERVAL_NANOS)
        {
            level++;
        }
        if (SPEED_LIMITS_PERCENT[level] != task.speedLimitPercent())
        {
            task.setSpeedLimitPercent(SPEED_LIMITS_PERCENT[level], nowNanos);
        }
        if (task.speedLimitDelivery().isDue(nowNanos))
        {
            task.speedLimitDelivery().onSent(nowNanos);
            changes.add(new SpeedLimitChange(task, task.run(), task.speedLimitPercent()));
        }
    }

    private static int level(int percent)
    {
        int level = 0;
        for (int i = 0; i < SPEED_LIMITS_PERCENT.length; i++)
        {
            level = percent >= SPEED_LIMITS_PERCENT[i] ? i : level;
        }
        return level;
    }
}
