/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.worker.WorkerEntry;

/** One step of one repetition of a job in the owner's memory. Guarded by the ledger's lock. */
final class Step
{
    private final Job job;
    private final int round;
    private final int number;
    private final StepSpec spec;
    private final ComputeResources needs;
    private final String name;
    private final List<Task> tasks = new ArrayList<>();
    private int failedGangRun;
    private int gangFailures;

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

    /** The room that each of its tasks takes. */
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
            if (task.phase() == Task.Phase.WAITING)
            {
                return true;
            }
        }
        return false;
    }

    /** The tasks that wait for a start. */
    List<Task> waiting()
    {
        return tasks.stream().filter(task -> task.phase() == Task.Phase.WAITING).toList();
    }

    /** Whether no task of it takes room anywhere. */
    boolean isIdle()
    {
        return tasks.stream().noneMatch(Task::occupies);
    }

    /** How many of its tasks have to start at the same time: all of a gang, else one. */
    int tasksToStartTogether()
    {
        return spec.gang() ? tasks.size() : 1;
    }

    /** The run that all members of a gang start next. */
    int nextGangRun()
    {
        return tasks.stream().mapToInt(Task::run).max().orElse(0) + 1;
    }

    /** The saved state that all members of a gang go on from; null if there is none. */
    String gangCheckpoint()
    {
        return tasks.stream().map(Task::checkpoint).filter(c -> c != null).findFirst().orElse(null);
    }

    /** One member's saved state serves for its gang. */
    void savedByGang(String state)
    {
        tasks.forEach(task -> task.saved(state));
    }

    /** Counts a failed run of the gang once, however many members report it. */
    void gangFailed(int run)
    {
        if (run > failedGangRun)
        {
            failedGangRun = run;
            gangFailures++;
            tasks.getFirst().failed();
        }
    }

    /** Whether a worker has the label that the step requires, if it requires one. */
    boolean hasLabel(WorkerEntry entry)
    {
        String label = spec.requires();
        return label == null || label.isEmpty() || entry.labels().contains(label);
    }

    /** How many tasks of the step a worker holds. */
    long countOn(TrackedWorker slot)
    {
        return tasks.stream().filter(task -> task.worker() == slot).count();
    }

    /** Whether a worker may hold so many more tasks of the step beside those that it holds. */
    boolean mayAddTo(TrackedWorker slot, int more)
    {
        int most = spec.antiAffinity();
        return most == 0 || countOn(slot) + more <= most;
    }

    /** How many tasks of a long-running step are not at work. */
    long countAway()
    {
        return tasks.stream()
                .filter(task -> task.phase() != Task.Phase.RUNNING || task.percent() < Task.WHOLE).count();
    }

    /** Stops every member that may be running. */
    void stopAll(Effects effects)
    {
        for (Task task : tasks)
        {
            if (task.occupies() && task.phase() != Task.Phase.STOPPING)
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
