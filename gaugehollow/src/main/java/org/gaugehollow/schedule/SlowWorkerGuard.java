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
 * Detects workers on which runs take much longer, for their kind, than other tasks of the same
 * steps on other workers, and moves long runs off them. Since tasks of a step vary in duration,
 * tasks of several steps must be slow on a worker and none on time.
 */
final class SlowWorkerGuard
{
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MIN_TASKS = 3;
    private static final double MIN_SLOW_RATIO = 2.5;
    private static final double MAX_NORMAL_RATIO = 1.8;
    private static final int MIN_SLOW_STEPS = 2;
    /** Cost of a move besides the repeated work: a stop, a planning round and a start. */
    private static final double MOVE_COST_MILLIS = 500;
    private static final double UNKNOWN = 0;

    private final CellState cellState;
    private final Map<Step, Double> medians = new HashMap<>();
    private long checkedNanos;
    private boolean hasChecked;

    SlowWorkerGuard(CellState cellState)
    {
        this.cellState = cellState;
    }

    /** Checks all workers and stops the runs that should move. */
    Effects check(long nowNanos)
    {
        Effects effects = new Effects();
        if (hasChecked && nowNanos - checkedNanos < PERIOD_NANOS)
        {
            return effects;
        }
        hasChecked = true;
        checkedNanos = nowNanos;
        medians.clear();
        for (TrackedWorker worker : cellState.workers())
        {
            checkWorker(worker, nowNanos, effects);
        }
        return effects;
    }

    private void checkWorker(TrackedWorker worker, long nowNanos, Effects effects)
    {
        Set<Step> slowSteps = new HashSet<>();
        List<Task> slowTasks = new ArrayList<>();
        for (Task task : worker.tasks())
        {
            double slowdown = slowdown(task);
            if (slowdown != UNKNOWN && slowdown < MAX_NORMAL_RATIO)
            {
                worker.health().recordOnTime(nowNanos);
                return;
            }
            if (slowdown > MIN_SLOW_RATIO)
            {
                slowSteps.add(task.step());
                slowTasks.add(task);
            }
        }
        if (slowSteps.size() >= MIN_SLOW_STEPS && !worker.health().wasOnTime(nowNanos))
        {
            worker.health().recordSlow(nowNanos);
            slowTasks.stream().filter(this::isWorthMoving).forEach(effects::stop);
        }
    }

    /**
     * Returns the ratio of the run's projected duration to the median of its step, or {@link #UNKNOWN}.
     */
    private double slowdown(Task task)
    {
        double projected = projectedMillis(task) / kindSlowness(task);
        double median = medians.computeIfAbsent(task.step(), SlowWorkerGuard::medianMillis);
        return projected == UNKNOWN || median == UNKNOWN ? UNKNOWN : projected / median;
    }

    private static double medianMillis(Step step)
    {
        List<Double> millis = new ArrayList<>();
        for (Task task : step.tasks())
        {
            double durationMillis = task.phase() == Task.Phase.DONE
                    ? task.runMillis()
                    : projectedMillis(task);
            if (durationMillis != UNKNOWN)
            {
                millis.add(durationMillis / kindSlowness(task));
            }
        }
        if (millis.size() < MIN_TASKS)
        {
            return UNKNOWN;
        }
        millis.sort(null);
        return millis.get((millis.size() - 1) / 2);
    }

    /** Returns how long runs take by the kind of the worker, which is no fault of the worker. */
    private static double kindSlowness(Task task)
    {
        return task.runSpeed().worker().kindSlowness();
    }

    /** Returns the duration of a whole run at its current speed, or {@link #UNKNOWN}. */
    private static double projectedMillis(Task task)
    {
        StepSpec spec = task.step().spec();
        boolean isComparable = task.phase() == Task.Phase.RUNNING && !spec.longRunning() && !spec.gang()
                && !spec.fills();
        return isComparable ? task.projectedMillis() : UNKNOWN;
    }

    /** Returns whether the rest of the run takes longer than a whole run elsewhere. */
    private boolean isWorthMoving(Task task)
    {
        double leftMillis = projectedMillis(task) * (Task.FULL_PERCENT - task.percent()) / Task.FULL_PERCENT;
        return leftMillis > medians.get(task.step()) + MOVE_COST_MILLIS;
    }
}
