/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collections;
import java.util.NavigableMap;
import java.util.TreeMap;

import org.gaugehollow.job.CrashHistory;
import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.JobProgress.CopyProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.StepSpec;

/**
 * A task of a step in the cell state. Guarded by the lock of the cell state.
 * <p>
 * A task may have a copy: a second run on another worker beside its own. The copy is an object of
 * this class too, with its own worker, phase and progress, so that it uses capacity and is stopped
 * like any other run. It is not one of the tasks of the step; failures, crashes and the outcome
 * belong to the task.
 */
final class Task extends RunState
{
    private final int index;
    /** The task of which this is a copy; null if this is a task. */
    private final Task original;
    /** The copy that is on a worker; null if there is none. */
    private Task copy;
    /** Whether the task has ever had a copy. */
    private boolean wasCopied;
    /** Highest number of a run of the task or its copy. */
    private int highestRun;
    private int failures;
    private String checkpoint;
    private long runMillis;
    private String failedWorkerId;
    private CrashHistory crashes = CrashHistory.NONE;
    /**
     * Derived from the crash history; cached because it is read for each pair of a task and a worker.
     */
    private boolean suspect;
    /** Workers of abandoned runs by run number; each run may still be active or may have ended. */
    private NavigableMap<Integer, String> abandonedRuns = Collections.emptyNavigableMap();
    private boolean doneByAbandonedRun;

    Task(Step step, int index)
    {
        super(step);
        this.index = index;
        this.original = null;
    }

    private Task(Task original)
    {
        super(original.step());
        this.index = original.index;
        this.original = original;
    }

    /** Restores the progress recorded by a previous owner, except that of a copy. */
    void restore(TaskProgress progress, TrackedWorker recordedWorker, long nowNanos)
    {
        setRun(progress.run());
        highestRun = progress.run();
        failures = progress.failures();
        checkpoint = progress.checkpoint();
        setCrashes(progress.crashes() == null ? CrashHistory.NONE : progress.crashes());
        if (progress.done())
        {
            setPhase(Phase.DONE);
        }
        else if (recordedWorker != null)
        {
            restoreRun(recordedWorker, progress.run(), nowNanos);
        }
    }

    private void restoreRun(TrackedWorker recordedWorker, int recordedRun, long nowNanos)
    {
        assign(recordedWorker, recordedRun, nowNanos);
        markRestored(nowNanos);
    }

    /**
     * Restores the copy recorded by a previous owner. If the task is done, its copy is to be stopped.
     */
    void restoreCopy(CopyProgress progress, TrackedWorker recordedWorker, long nowNanos)
    {
        wasCopied = true;
        highestRun = Math.max(highestRun, progress.run());
        if (recordedWorker != null)
        {
            Task restored = addCopy();
            restored.restoreRun(recordedWorker, progress.run(), nowNanos);
            if (phase() == Phase.DONE)
            {
                restored.markStopping();
            }
        }
    }

    TaskProgress progress()
    {
        return new TaskProgress(run(), failures, hasSucceeded(), isOnWorker() ? worker().id() : null,
                checkpoint, crashes.isEmpty() ? null : crashes, copyProgress());
    }

    private CopyProgress copyProgress()
    {
        if (copy != null)
        {
            return new CopyProgress(copy.run(), copy.worker().id());
        }
        if (!abandonedRuns.isEmpty() && phase() != Phase.DONE)
        {
            // The next owner has to count its end, like that of a copy.
            return new CopyProgress(abandonedRuns.lastKey(), abandonedRuns.lastEntry().getValue());
        }
        return wasCopied && phase() != Phase.DONE ? new CopyProgress(highestRun, null) : null;
    }

    /** Adds a copy, which must be assigned to a worker next. */
    Task addCopy()
    {
        copy = new Task(this);
        wasCopied = true;
        return copy;
    }

    /** Returns the copy that is on a worker, or null if there is none. */
    Task copy()
    {
        return copy;
    }

    /** Returns whether the task has a copy or has had one. */
    boolean wasCopied()
    {
        return wasCopied;
    }

    boolean isCopy()
    {
        return original != null;
    }

    /** Returns the task of which this is a copy, or this task if it is not a copy. */
    Task task()
    {
        return original == null ? this : original;
    }

    /** Returns the object that stands for a run, this task or its copy, or null if it is neither. */
    Task findRun(TrackedWorker expectedWorker, int expectedRun)
    {
        if (isAt(expectedWorker, expectedRun))
        {
            return this;
        }
        return copy != null && copy.isAt(expectedWorker, expectedRun) ? copy : null;
    }

    /** Returns the number of the next run. */
    int nextRun()
    {
        return highestRun + 1;
    }

    /** Returns whether the task waits for a start; a task whose copy runs does not. */
    boolean isWaiting()
    {
        return phase() == Phase.WAITING && copy == null;
    }

    /** Returns whether the task waits for a start once its run has ended without completing it. */
    boolean waitsOnceReleased()
    {
        return isOnWorker() && copy == null && !isCopy() && !hasSucceeded();
    }

    /** Returns whether a run ended successfully, even if another one still has to be stopped. */
    boolean hasSucceeded()
    {
        return phase() == Phase.DONE || doneByAbandonedRun;
    }

    /** Assigns the task to a worker before its start is recorded and sent. */
    void assign(TrackedWorker target, int newRun, long nowNanos)
    {
        begin(target, newRun, task().checkpoint != null, nowNanos);
        task().highestRun = Math.max(task().highestRun, newRun);
        target.addTask(this);
    }

    /**
     * Releases the worker after the run has ended. The task waits for another run unless an abandoned
     * run has completed it; a copy is removed.
     */
    void release()
    {
        if (isCopy())
        {
            leaveWorker();
            setPhase(Phase.WAITING);
            original.copy = null;
            return;
        }
        if (doneByAbandonedRun)
        {
            complete();
            return;
        }
        leaveWorker();
        setPhase(Phase.WAITING);
    }

    /**
     * Returns whether several runs of the task may exist at a time, of which the first success counts.
     */
    boolean allowsDuplicateRuns()
    {
        StepSpec spec = step().spec();
        return spec.speculative() && !spec.gang() && !spec.longRunning();
    }

    /** Abandons the current run on its worker so that another run can start elsewhere. */
    void abandonRun()
    {
        NavigableMap<Integer, String> withCurrent = new TreeMap<>(task().abandonedRuns);
        withCurrent.put(run(), worker().id());
        task().abandonedRuns = withCurrent;
        release();
    }

    /** Returns whether a run abandoned by this owner may still exist. */
    boolean hasAbandonedRuns()
    {
        return !abandonedRuns.isEmpty();
    }

    /** Removes an abandoned run that has ended; returns false if no abandoned run has that number. */
    boolean endAbandonedRun(int number)
    {
        return abandonedRuns.containsKey(number) && abandonedRuns.remove(number) != null;
    }

    /**
     * Completes the task by an abandoned run that ended successfully. A current run still has to be
     * stopped.
     */
    void completeByAbandonedRun()
    {
        doneByAbandonedRun = true;
        if (!isOnWorker())
        {
            complete();
        }
    }

    /** Completes the task and records the duration of its run. */
    void complete(long nowNanos)
    {
        runMillis = millisSinceStart(nowNanos);
        complete();
    }

    /**
     * Completes the task by its copy, whose run has ended. A run of the task's own remains as its copy
     * and still has to be stopped, so that the completion does not wait for it.
     */
    void completeByCopy(long nowNanos)
    {
        Task ended = copy;
        ended.release();
        runMillis = ended.millisSinceStart(nowNanos);
        if (isOnWorker())
        {
            detachRun();
        }
        takeResult(ended);
        complete();
    }

    /** Moves the run of the task to a copy, including the state of its latest command. */
    private void detachRun()
    {
        Task detached = addCopy();
        detached.takeOver(this);
        TrackedWorker current = worker();
        leaveWorker();
        current.addTask(detached);
    }

    /** Completes the task. */
    void complete()
    {
        leaveWorker();
        setPhase(Phase.DONE);
        checkpoint = null;
    }

    private void leaveWorker()
    {
        if (isOnWorker())
        {
            worker().removeTask(this);
        }
        leave();
    }

    /** Counts a failed run. */
    void recordFailure()
    {
        failures++;
    }

    /** Records the worker on which a run failed, so that the next run prefers another one. */
    void recordFailureOn(TrackedWorker failedWorker)
    {
        failedWorkerId = failedWorker.id();
    }

    boolean hasFailedOn(TrackedWorker candidate)
    {
        return candidate.id().equals(failedWorkerId);
    }

    CrashHistory crashes()
    {
        return task().crashes;
    }

    void setCrashes(CrashHistory newCrashes)
    {
        crashes = newCrashes;
        suspect = newCrashes.count(Attribution.AT_START) > 0;
    }

    /** Returns whether a worker crashed right after starting the task. */
    boolean isSuspect()
    {
        return task().suspect;
    }

    /** Returns whether the task is a suspect whose run is still within its isolation period. */
    boolean isIsolated()
    {
        return isSuspect() && isOnWorker() && phase() != Phase.STOPPING
                && observedMillis() < CrashGuard.STARTUP_MILLIS;
    }

    /** Saves a checkpoint; one of a copy counts only if the task has no run of its own. */
    void saveCheckpoint(String newCheckpoint)
    {
        boolean isIgnored = isCopy() && (original.isOnWorker() || original.phase() == Phase.DONE);
        if (newCheckpoint != null && !newCheckpoint.isEmpty() && !isIgnored)
        {
            task().checkpoint = newCheckpoint;
        }
    }

    /**
     * Returns the number of failed runs. The second member of a gang holds the number of the gang's
     * last failed run instead, see {@link TaskProgress}.
     */
    int failures()
    {
        return failures;
    }

    void setFailures(int newFailures)
    {
        failures = newFailures;
    }

    String checkpoint()
    {
        return checkpoint;
    }

    /** Records that the worker of the latest run neither has it nor lists its end. */
    void onRunMissing()
    {
        if (isRestoredUnseen())
        {
            step().job().onRecordedRunMissing();
        }
    }

    /** Returns whether the recorded progress shows that a run was begun before the latest one. */
    boolean showsEarlierRun()
    {
        return phase() == Phase.DONE || run() > 1 || failures > 0 || checkpoint != null || !crashes.isEmpty();
    }

    /** Returns the duration of the successful run, in milliseconds, or 0 if unknown. */
    long runMillis()
    {
        return runMillis;
    }

    /** Returns the index of the task in its step. */
    int index()
    {
        return index;
    }

    String name()
    {
        return step().name() + '.' + index;
    }
}
