/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.gaugehollow.admission.Work;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.speed.SpeedFit;
import org.gaugehollow.worker.WorkerEntry;

/**
 * A step in one repetition of a job in the cell state. Guarded by the lock of the cell state.
 */
final class Step
{
    private final Job job;
    private final int round;
    private final int number;
    private final StepSpec spec;
    private final ComputeResources needs;
    private final String name;
    private final List<Task> tasks = new ArrayList<>();
    private SpeedFit speedFit = SpeedFit.NEUTRAL;
    private boolean wasHeld;
    private long heldSinceNanos;

    Step(Job job, int round, int number, StepSpec spec)
    {
        this.job = job;
        this.round = round;
        this.number = number;
        this.spec = spec;
        this.needs = spec.needs();
        this.name = TaskName.stepName(job.id(), round, number);
        for (int i = 0; i < spec.count(); i++)
        {
            tasks.add(new Task(this, i));
        }
    }

    /** Returns the compute resources that each task needs. */
    ComputeResources needs()
    {
        return needs;
    }

    boolean isDone()
    {
        for (Task task : tasks)
        {
            if (task.phase() != Task.Phase.DONE)
            {
                return false;
            }
        }
        return true;
    }

    boolean hasWaiting()
    {
        for (Task task : tasks)
        {
            if (task.isWaiting())
            {
                return true;
            }
        }
        return false;
    }

    /** Returns the tasks that wait for a start. */
    List<Task> waitingTasks()
    {
        return tasks.stream().filter(Task::isWaiting).toList();
    }

    /**
     * Returns the estimated work of the waiting tasks, in core-milliseconds; 0 if it never ends.
     */
    long waitingCoreMillis()
    {
        return spec.longRunning() ? 0 : Work.coreMillis(needs, waitingTasks().size(), spec.estimateMillis());
    }

    /** Returns the number of tasks that wait for a start. */
    int countWaiting()
    {
        int count = 0;
        for (Task task : tasks)
        {
            count += task.phase() == Task.Phase.WAITING ? 1 : 0;
        }
        return count;
    }

    /** Returns whether no task of the step is on a worker. */
    boolean isIdle()
    {
        return tasks.stream().noneMatch(Task::isOnWorker);
    }

    /** Returns the number of tasks that must start together: all tasks of a gang, otherwise one. */
    int tasksToStartTogether()
    {
        return spec.gang() ? tasks.size() : 1;
    }

    /** Returns the run number for the next start of the gang. */
    int nextGangRun()
    {
        return tasks.stream().mapToInt(Task::run).max().orElse(0) + 1;
    }

    /** Returns the checkpoint that all members of the gang resume from, or null if there is none. */
    String gangCheckpoint()
    {
        return tasks.stream().map(Task::checkpoint).filter(checkpoint -> checkpoint != null).findFirst()
                .orElse(null);
    }

    /** Stores one member's checkpoint for all members of the gang. */
    void saveGangCheckpoint(String checkpoint)
    {
        tasks.forEach(task -> task.saveCheckpoint(checkpoint));
    }

    /**
     * Counts a failed run of the gang once, regardless of the number of members that report it and of
     * the owner to which they report.
     */
    void recordGangFailure(int run)
    {
        if (tasks.size() == 1)
        {
            tasks.getFirst().recordFailure();
        }
        else if (run > tasks.get(1).failures())
        {
            tasks.getFirst().recordFailure();
            tasks.get(1).setFailures(run);
        }
    }

    /**
     * Returns the number of failed runs that count against a task, which are those of its gang if any.
     */
    int failuresOf(Task task)
    {
        return spec.gang() ? tasks.getFirst().failures() : task.failures();
    }

    /**
     * Returns whether a worker offers the service of the queue and the label that the step requires.
     */
    boolean suits(WorkerEntry entry)
    {
        return entry.service().equals(job.queue().service()) && hasRequiredLabel(entry);
    }

    /** Returns whether a worker has the label that the step requires, if any. */
    private boolean hasRequiredLabel(WorkerEntry entry)
    {
        String label = spec.requires();
        return label == null || label.isEmpty() || entry.labels().contains(label);
    }

    /** Sets how slow a worker the step can bear in the current planning round. */
    void setSpeedFit(SpeedFit fit)
    {
        speedFit = fit;
    }

    /** Returns how slow a worker the step can bear, as of its latest planning round. */
    SpeedFit speedFit()
    {
        return speedFit;
    }

    /**
     * Returns the monotonic time at which the step first waited for a fast worker, or begins to wait.
     */
    long holdSince(long nowNanos)
    {
        if (!wasHeld)
        {
            wasHeld = true;
            heldSinceNanos = nowNanos;
        }
        return heldSinceNanos;
    }

    /** Returns whether a run on a worker would take too long for the objective of the job. */
    boolean isTooSlow(TrackedWorker worker)
    {
        return speedFit.isTooSlow(worker.speed(), lacksAffinity(worker.entry()));
    }

    /** Returns whether the step has a preferred rack. */
    boolean hasAffinity()
    {
        return spec.affinity() != null && !spec.affinity().isEmpty();
    }

    /** Returns whether the step has a preferred rack and a worker is not in it. */
    boolean lacksAffinity(WorkerEntry entry)
    {
        return hasAffinity() && !entry.labels().contains(spec.affinity());
    }

    /** Returns the number of runs of the step on a worker. */
    long countOn(TrackedWorker worker)
    {
        return runs().filter(run -> run.worker() == worker).count();
    }

    /** Returns the tasks and their copies. */
    private Stream<Task> runs()
    {
        return tasks.stream()
                .flatMap(task -> task.copy() == null ? Stream.of(task) : Stream.of(task, task.copy()));
    }

    /** Returns the tasks and copies that are on workers. */
    List<Task> runsOnWorkers()
    {
        return runs().filter(Task::isOnWorker).toList();
    }

    /** Returns whether the anti-affinity limit allows additional tasks of the step on a worker. */
    boolean canAddTo(TrackedWorker worker, int additional)
    {
        int maxPerWorker = spec.antiAffinity();
        return maxPerWorker == 0 || countOn(worker) + additional <= maxPerWorker;
    }

    /** Returns the number of tasks of a long-running step that are not running at full speed. */
    long countNotRunning()
    {
        return tasks.stream()
                .filter(task -> task.phase() != Task.Phase.RUNNING || task.percent() < Task.FULL_PERCENT)
                .count();
    }

    /** Stops every task that may be running. */
    void stopAll(Effects effects)
    {
        for (Task task : tasks)
        {
            if (task.isOnWorker() && task.phase() != Task.Phase.STOPPING)
            {
                effects.stop(task);
            }
        }
    }

    StepProgress progress()
    {
        return new StepProgress(tasks.stream().map(Task::progress).toList());
    }

    Job job()
    {
        return job;
    }

    int round()
    {
        return round;
    }

    int number()
    {
        return number;
    }

    StepSpec spec()
    {
        return spec;
    }

    String name()
    {
        return name;
    }

    List<Task> tasks()
    {
        return tasks;
    }
}
