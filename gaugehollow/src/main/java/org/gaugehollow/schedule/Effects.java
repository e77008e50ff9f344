/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.gaugehollow.job.CrashHistory;
import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.CrashHistory.Crash;
import org.gaugehollow.job.JobState;

/** Collects the writes and commands that follow from a change of the cell state. */
final class Effects
{
    /**
     * A run that has to be stopped.
     *
     * @param worker the worker of the run
     * @param taskName the full name of the task
     * @param run the run number
     * @param task the task, or null if the cell state does not know the run
     */
    record Stop(TrackedWorker worker, String taskName, int run, Task task)
    {
    }

    /**
     * A run that was lost with its worker.
     *
     * @param task the full name of the task
     * @param run the run number
     * @param worker the id of the worker
     * @param cause the cause of the loss
     * @param observedMillis the observed run time in milliseconds
     * @param step the step of the task
     */
    record LostRun(String task, int run, String worker, WorkerLossCause cause, long observedMillis, Step step)
    {
    }

    /**
     * A task that fails as poison.
     *
     * @param task the full name of the task
     * @param crashes the worker crashes under the task
     */
    record PoisonTask(String task, CrashHistory crashes)
    {
    }

    /**
     * A worker crash that was recorded for a task.
     *
     * @param task the full name of the task
     * @param run the run number
     * @param crash the worker and how far its crash is attributed to the task
     * @param cause why the crash is assumed
     * @param runMillis the run time in milliseconds
     */
    record RecordedCrash(String task, int run, Crash crash, String cause, long runMillis)
    {
        /** Returns the text of the event. */
        String describe()
        {
            return "worker " + crash.worker() + ": " + crash.evidence() + ", run " + run + ": " + cause
                    + ", running for " + runMillis + " ms";
        }
    }

    /**
     * A recorded crash that does not count for its task any more.
     *
     * @param task the full name of the task
     * @param crash the crash as recorded
     * @param reason why it does not count
     */
    record WithdrawnCrash(String task, Crash crash, String reason)
    {
        /** Returns the text of the event. */
        String describe()
        {
            return "worker " + crash.worker() + ": " + crash.evidence() + ": " + reason;
        }
    }

    /**
     * The outcome of a copy: a run of the task has ended successfully, or the copy ended without
     * success.
     *
     * @param task the full name of the task
     * @param loser the other run, or the copy if it ended without success
     * @param loserRun the number of that run
     * @param hasWon whether the copy completed the task
     * @param wastedCoreSeconds the work of that run, in seconds of a core
     */
    record SettledCopy(String task, String loser, int loserRun, boolean hasWon, double wastedCoreSeconds)
    {
        /** Returns the text of the event. */
        String describe()
        {
            return String.format("%s: run %d on %s does not count, %.2f core-seconds lost",
                    hasWon ? "the copy won" : "the copy did not win", loserRun, loser, wastedCoreSeconds);
        }
    }

    private final Set<Job> changedJobs = new LinkedHashSet<>();
    private final List<Stop> stops = new ArrayList<>();
    private final List<LostRun> lostRuns = new ArrayList<>();
    private final List<PoisonTask> poisonTasks = new ArrayList<>();
    private final List<RecordedCrash> recordedCrashes = new ArrayList<>();
    private final List<WithdrawnCrash> withdrawnCrashes = new ArrayList<>();
    private final List<SettledCopy> settledCopies = new ArrayList<>();

    /** Marks the progress of a job as changed. */
    void markChanged(Job job)
    {
        job.markChanged();
        changedJobs.add(job);
    }

    /** Applies an event and marks the job as changed if its state has changed. */
    void applyToState(Job job, Runnable event)
    {
        JobState before = job.state();
        event.run();
        if (job.state() != before)
        {
            markChanged(job);
        }
    }

    /** Adds a job whose earlier change may not be stored yet. */
    void addUnwritten(Job job)
    {
        changedJobs.add(job);
    }

    void stop(Task task)
    {
        task.markStopping();
        stops.add(new Stop(task.worker(), task.name(), task.run(), task));
    }

    /** Stops a run unless that has been decided before. */
    void stopUnlessStopping(Task task)
    {
        if (task.phase() != Task.Phase.STOPPING)
        {
            stop(task);
        }
    }

    void stopOrphanRun(TrackedWorker worker, String taskName, int run)
    {
        stops.add(new Stop(worker, taskName, run, null));
    }

    /** Adds a run that was lost with its worker. */
    void addLostRun(Task task, TrackedWorker worker, WorkerLossCause cause)
    {
        lostRuns.add(
                new LostRun(task.name(), task.run(), worker.id(), cause, task.observedMillis(), task.step()));
    }

    /** Returns the jobs whose progress is to be written. */
    Set<Job> changedJobs()
    {
        return changedJobs;
    }

    List<Stop> stops()
    {
        return stops;
    }

    /** Adds a task that fails as poison. */
    void addPoisonTask(Task task)
    {
        poisonTasks.add(new PoisonTask(task.name(), task.crashes()));
    }

    /** Adds a crash that was recorded for the task of a run. */
    void addRecordedCrash(UnresponsiveRun run, TrackedWorker worker, Attribution attribution, String cause)
    {
        recordedCrashes.add(new RecordedCrash(run.task().name(), run.run(),
                new Crash(worker.id(), attribution), cause, run.durationMillis()));
    }

    /** Adds the crashes of a task that its updated history does not contain any more. */
    void addWithdrawnCrashes(Task task, CrashHistory updated, String reason)
    {
        for (Crash crash : task.crashes().crashes())
        {
            if (!updated.crashes().contains(crash))
            {
                withdrawnCrashes.add(new WithdrawnCrash(task.name(), crash, reason));
            }
        }
    }

    List<RecordedCrash> recordedCrashes()
    {
        return recordedCrashes;
    }

    List<WithdrawnCrash> withdrawnCrashes()
    {
        return withdrawnCrashes;
    }

    /** Adds the outcome of a copy; the loser may have no run on a worker any more. */
    void addSettledCopy(Task loser, boolean hasWon)
    {
        String worker = loser.isOnWorker() ? loser.worker().id() : "no worker";
        settledCopies.add(new SettledCopy(loser.name(), worker, loser.run(), hasWon, loser.coreSeconds()));
    }

    List<SettledCopy> settledCopies()
    {
        return settledCopies;
    }

    List<PoisonTask> poisonTasks()
    {
        return poisonTasks;
    }

    List<LostRun> lostRuns()
    {
        return lostRuns;
    }
}
