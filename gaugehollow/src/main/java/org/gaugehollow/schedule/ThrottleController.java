/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps serving tasks below their target where tasks that fill share their worker: the fillers are
 * slowed down as soon as a serving task comes near its target, and let go faster again step by
 * step.
 */
final class ThrottleController
{
    private static final int[] PACES = {0, 25, 50, 100};
    private static final double SLOW_DOWN_AT = 0.85;
    private static final double SPEED_UP_BELOW = 0.55;
    private static final long CALM_NANOS = 2_000_000_000L;

    /**
     * A change of pace that is to be sent.
     *
     * @param task the task that fills
     * @param run the run
     * @param percent the share of its speed
     */
    record Change(Task task, int run, int percent)
    {
    }

    private ThrottleController()
    {
    }

    /**
     * Whether tasks that fill and tasks that serve share the worker, so that it has to be looked at
     * often.
     */
    static boolean isShared(TrackedWorker slot)
    {
        boolean serves = false;
        boolean fills = false;
        for (Task task : slot.tasks())
        {
            serves |= task.step().spec().targetMillis() > 0;
            fills |= task.step().spec().fills();
        }
        return serves && fills;
    }

    /** Decides the paces after a look. */
    static List<Change> adjust(TrackedWorker slot, long nowNanos)
    {
        double worst = 0;
        for (Task task : slot.tasks())
        {
            long target = task.step().spec().targetMillis();
            if (target > 0)
            {
                worst = Math.max(worst, task.gauge() / target);
            }
        }
        List<Change> changes = new ArrayList<>();
        for (Task task : slot.tasks())
        {
            if (task.step().spec().fills() && task.phase() == Task.Phase.RUNNING)
            {
                adjust(task, worst, nowNanos, changes);
            }
        }
        return changes;
    }

    private static void adjust(Task task, double worst, long nowNanos, List<Change> changes)
    {
        int level = level(task.speedLimitPercent());
        if (worst > SLOW_DOWN_AT && level > 0)
        {
            level = worst > 1 ? 0 : level - 1;
        }
        else if (worst < SPEED_UP_BELOW && level < PACES.length - 1
                && nowNanos - task.speedLimitSetNanos() > CALM_NANOS)
        {
            level++;
        }
        if (PACES[level] != task.speedLimitPercent())
        {
            task.setSpeedLimitPercent(PACES[level], nowNanos);
            changes.add(new Change(task, task.run(), PACES[level]));
        }
    }

    private static int level(int pace)
    {
        int level = 0;
        for (int i = 0; i < PACES.length; i++)
        {
            level = pace >= PACES[i] ? i : level;
        }
        return level;
    }
}
