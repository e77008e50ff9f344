/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.StepSpec;
import org.gaugehollow.speed.EstimateBias;
import org.gaugehollow.speed.SpeedEstimates;
import org.gaugehollow.speed.StepRun;
import org.gaugehollow.worker.WorkerEntry;

/**
 * Passes the durations of runs, ended or projected, to the estimates of the workers' speeds.
 * Guarded by the lock of the cell state.
 */
final class SpeedMonitor
{
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Maximum number of queues whose estimates are compared with durations. */
    private static final int MAX_QUEUES = 256;
    private static final String NO_LABELS = "unlabelled";

    private final TrackedWorkers workers;
    private final Map<String, EstimateBias> biasByQueue = new LinkedHashMap<>();
    private long checkedNanos;
    private boolean hasChecked;

    SpeedMonitor(TrackedWorkers workers)
    {
        this.workers = workers;
    }

    /** Returns the kind of a worker: its labels without its rack. */
    static String kindOf(WorkerEntry entry)
    {
        Set<String> labels = new TreeSet<>(entry.labels());
        labels.remove(entry.rack());
        return labels.isEmpty() ? NO_LABELS : String.join(",", labels);
    }

    /** Learns from the runs in progress, at most once per period. */
    void check(long nowNanos)
    {
        if (hasChecked && nowNanos - checkedNanos < PERIOD_NANOS)
        {
            return;
        }
        hasChecked = true;
        checkedNanos = nowNanos;
        SpeedEstimates speeds = workers.speeds();
        speeds.beginObservation();
        stepsInProgress().forEach(step -> observe(step, false, nowNanos));
        speeds.update(nowNanos);
    }

    private Set<Step> stepsInProgress()
    {
        Set<Step> steps = new LinkedHashSet<>();
        for (TrackedWorker worker : workers.all())
        {
            worker.forEachTask(task ->
            {
                if (isComparable(task.step()))
                {
                    steps.add(task.step());
                }
            });
        }
        return steps;
    }

    /** Learns from a step whose last run has ended successfully. */
    void onRunEnded(Task task, long nowNanos)
    {
        if (isComparable(task.step()) && task.step().isDone())
        {
            observe(task.step(), true, nowNanos);
        }
    }

    /**
     * Returns whether the tasks of a step differ in duration only by their own work and by their
     * workers. Tasks of a rack-local step slow down together if they are spread over racks.
     */
    private static boolean isComparable(Step step)
    {
        StepSpec spec = step.spec();
        return !spec.longRunning() && !spec.gang() && !spec.fills() && !spec.rackLocal();
    }

    private void observe(Step step, boolean isDone, long nowNanos)
    {
        List<StepRun> runs = new ArrayList<>();
        for (Task task : step.tasks())
        {
            RunSpeed run = task.runSpeed();
            double millis = run.comparableMillis(task);
            if (millis > 0)
            {
                runs.add(new StepRun(run.worker(), millis, task.startedNanos(),
                        task.phase() == Task.Phase.DONE, run.history()));
            }
        }
        workers.speeds().observe(runs, step.spec().estimateMillis(), bias(step), isDone, nowNanos);
    }

    /** Returns the ratio of durations to the estimates of the step's queue. */
    EstimateBias bias(Step step)
    {
        if (biasByQueue.size() >= MAX_QUEUES && !biasByQueue.containsKey(step.job().queue().name()))
        {
            biasByQueue.remove(biasByQueue.keySet().iterator().next());
        }
        return biasByQueue.computeIfAbsent(step.job().queue().name(), name -> new EstimateBias());
    }
}
