/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.StepSpec;

/**
 * Finds workers on which everything takes much longer than the other tasks of the same steps do
 * elsewhere, and moves what would take long there. Tasks of a step differ by themselves, so one
 * slow task says nothing of its worker: tasks of several steps must be slow on it and none in time.
 */
final class SlowWorkerGuard
{
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int FEWEST_TASKS = 3;
    private static final double SLOW_RATIO = 2.5;
    private static final double NORMAL_RATIO = 1.8;
    private static final int SLOW_STEPS = 2;
    /** What a move costs beside the work that is done again: a stop, a decision and a start. */
    private static final double MOVE_MILLIS = 500;
    private static final double UNKNOWN = 0;

    private final CellState ledger;
    private final Map<Step, Double> medians = new HashMap<>();
    private long checkedNanos;
    private boolean checked;

    SlowWorkerGuard(CellState ledger)
    {
        this.ledger = ledger;
    }

    /** Stops the runs that are to go on elsewhere. */
    Effects check(long nowNanos)
    {
        Effects effects = new Effects();
        if (checked && nowNanos - checkedNanos < PERIOD_NANOS)
        {
            return effects;
        }
        checked = true;
        checkedNanos = nowNanos;
        medians.clear();
        for (TrackedWorker slot : ledger.workers())
        {
            checkWorker(slot, nowNanos, effects);
        }
        return effects;
    }

    private void checkWorker(TrackedWorker slot, long nowNanos, Effects effects)
    {
        Set<Step> slowSteps = new HashSet<>();
        List<Task> slowTasks = new ArrayList<>();
        for (Task task : slot.tasks())
        {
            double ratio = ratio(task);
            if (ratio != UNKNOWN && ratio < NORMAL_RATIO)
            {
                slot.health().recordOnTime(nowNanos);
                return;
            }
            if (ratio > SLOW_RATIO)
            {
                slowSteps.add(task.step());
                slowTasks.add(task);
            }
        }
        if (slowSteps.size() >= SLOW_STEPS && !slot.health().wasOnTime(nowNanos))
        {
            slot.health().recordSlow(nowNanos);
            slowTasks.stream().filter(this::isWorthMoving).forEach(effects::stop);
        }
    }

    /** How much longer a run will take in all than the others of its step, or {@link #UNKNOWN}. */
    private double ratio(Task task)
    {
        double projected = projectedMillis(task);
        double median = medians.computeIfAbsent(task.step(), SlowWorkerGuard::medianMillis);
        return projected == UNKNOWN || median == UNKNOWN ? UNKNOWN : projected / median;
    }

    private static double medianMillis(Step step)
    {
        List<Double> millis = new ArrayList<>();
        for (Task task : step.tasks())
        {
            double own = task.phase() == Task.Phase.DONE ? task.ranMillis() : projectedMillis(task);
            if (own != UNKNOWN)
            {
                millis.add(own);
            }
        }
        if (millis.size() < FEWEST_TASKS)
        {
            return UNKNOWN;
        }
        millis.sort(null);
        return millis.get((millis.size() - 1) / 2);
    }

    /** How long a whole run takes at its present speed, or {@link #UNKNOWN}. */
    private static double projectedMillis(Task task)
    {
        StepSpec spec = task.step().spec();
        boolean counts = task.phase() == Task.Phase.RUNNING && !spec.longRunning() && !spec.gang()
                && !spec.fills();
        return counts ? task.millisAtPresentSpeed() : UNKNOWN;
    }

    /** Whether the rest takes longer there than all of it elsewhere. */
    private boolean isWorthMoving(Task task)
    {
        double left = projectedMillis(task) * (Task.WHOLE - task.percent()) / Task.WHOLE;
        return left > medians.get(task.step()) + MOVE_MILLIS;
    }
}
