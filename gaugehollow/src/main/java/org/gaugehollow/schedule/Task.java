/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.CrashHistory;
import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.StepSpec;

/** A task of a step in the cell state. Guarded by the lock of the cell state. */
final class Task
{
    /** State of a task. */
    enum Phase
    {
        /** The task waits for a start; no run of it is on a worker. */
        WAITING,
        /** A start may have been sent; its arrival is not known. */
        ORDERED,
        /** The worker runs the task. */
        RUNNING,
        /** A stop may have been sent; the task counts as running until its end is known. */
        STOPPING,
        /** A run ended successfully. */
        DONE
    }

    /** Full value of {@link #percent} and {@link #speedLimitPercent}. */
    static final int FULL_PERCENT = 100;
    /**
     * Time after which a stop is sent again if the worker still lists the run, far above what a stop
     * takes.
     */
    private static final long STOP_TIMEOUT_NANOS = 3_000_000_000L;
    /** Marks a command whose effect on the worker is not known yet. */
    static final long UNSETTLED = Long.MAX_VALUE;

    private final Step step;
    private final int index;
    private Phase phase = Phase.WAITING;
    private int run;
    private int failures;
    private String checkpoint;
    private TrackedWorker worker;
    private long settledNanos = UNSETTLED;
    private final RunObservation observation = new RunObservation();
    private final RunSpeed runSpeed = new RunSpeed(observation);
    private long runMillis;
    private int speedLimitPercent = FULL_PERCENT;
    private long speedLimitSetNanos;
    private final SpeedLimitDelivery speedLimitDelivery = new SpeedLimitDelivery();
    private String failedWorkerId;
    private CrashHistory crashes = CrashHistory.NONE;
    /**
     * Derived from the crash history; cached because it is read for each pair of a task and a worker.
     */
    private boolean suspect;
    private boolean mayHaveStarted;
    /** Time at which the latest start was sent first. Only valid if {@link #mayHaveStarted} holds. */
    private long sentNanos;
    private boolean hasStarted;
    /** Runs abandoned on unresponsive workers; each may still be running or may have ended. */
    private Set<Integer> abandonedRuns = Set.of();
    private boolean doneByAbandonedRun;

    Task(Step step, int index)
    {
        this.step = step;
        this.index = index;
    }

    /** Restores the progress recorded by a previous owner. */
    void restore(TaskProgress progress, TrackedWorker recordedWorker, long nowNanos)
    {
        run = progress.run();
        failures = progress.failures();
        checkpoint = progress.checkpoint();
        setCrashes(progress.crashes() == null ? CrashHistory.NONE : progress.crashes());
        if (progress.done())
        {
            phase = Phase.DONE;
        }
        else if (recordedWorker != null)
        {
            assign(recordedWorker, run, nowNanos);
            runSpeed.markResumed();
            mayHaveStarted = true;
            settledNanos = Long.MIN_VALUE;
            speedLimitDelivery.markUnknown();
        }
    }

    TaskProgress progress()
    {
        return new TaskProgress(run, failures, phase == Phase.DONE || doneByAbandonedRun,
                worker == null ? null : worker.id(), checkpoint, crashes.isEmpty() ? null : crashes);
    }

    /** Assigns the task to a worker before its start is recorded and sent. */
    void assign(TrackedWorker target, int newRun, long nowNanos)
    {
        phase = Phase.ORDERED;
        run = newRun;
        worker = target;
        settledNanos = UNSETTLED;
        observation.reset(nowNanos);
        runSpeed.begin(target, checkpoint != null, step);
        speedLimitPercent = FULL_PERCENT;
        speedLimitSetNanos = nowNanos;
        speedLimitDelivery.reset();
        mayHaveStarted = false;
        hasStarted = false;
        target.addTask(this);
    }

    /** Marks the start as being sent. */
    void markSent(long nowNanos)
    {
        if (!mayHaveStarted)
        {
            mayHaveStarted = true;
            sentNanos = nowNanos;
        }
    }

    /** Returns whether the start was sent at least the given time ago and is not settled. */
    boolean isStartUnansweredFor(long nanos, long nowNanos)
    {
        return phase == Phase.ORDERED && mayHaveStarted && settledNanos == UNSETTLED
                && nowNanos - sentNanos >= nanos;
    }

    /** Marks the task as running, as reported by the worker. */
    void markRunning(long nowNanos)
    {
        if (phase == Phase.ORDERED)
        {
            phase = Phase.RUNNING;
            mayHaveStarted = true;
            hasStarted = true;
            observation.onStarted(nowNanos);
        }
    }

    /**
     * Records the time at which the last command took effect. A heartbeat sent later that does not list
     * the run proves that the run is not on the worker.
     */
    void settle(long nowNanos)
    {
        settledNanos = nowNanos;
    }

    /**
     * Handles the reply to a start: the worker runs the task. The reply does not settle a stop that was
     * decided in the meantime, because that stop would then never be sent.
     */
    void onStartAnswered(long nowNanos)
    {
        markRunning(nowNanos);
        if (phase != Phase.STOPPING)
        {
            settle(nowNanos);
        }
    }

    /** Handles the reply to a stop. Only the first reply for the current run counts. */
    void onStopAnswered(TrackedWorker commandedWorker, int stoppedRun, long nowNanos)
    {
        if (phase == Phase.STOPPING && isAt(commandedWorker, stoppedRun) && settledNanos == UNSETTLED)
        {
            settle(nowNanos);
        }
    }

    /**
     * Handles a heartbeat, sent at the given time, that lists the run. An answered stop may have been
     * lost.
     */
    void onListed(long heartbeatNanos)
    {
        if (phase == Phase.STOPPING && settledNanos != UNSETTLED
                && heartbeatNanos - settledNanos >= STOP_TIMEOUT_NANOS)
        {
            settledNanos = UNSETTLED;
        }
    }

    /** Marks the task as stopping before the stop is sent. */
    void markStopping()
    {
        phase = Phase.STOPPING;
        settledNanos = UNSETTLED;
    }

    /**
     * Releases the worker after the run has ended. The task waits for another run unless an abandoned
     * run has completed it.
     */
    void release()
    {
        if (doneByAbandonedRun)
        {
            complete();
            return;
        }
        leaveWorker();
        phase = Phase.WAITING;
    }

    /**
     * Returns whether several runs of the task may exist at a time, of which the first success counts.
     */
    boolean allowsDuplicateRuns()
    {
        StepSpec spec = step.spec();
        return spec.speculative() && !spec.gang() && !spec.longRunning();
    }

    /** Abandons the current run on its worker so that another run can start elsewhere. */
    void abandonRun()
    {
        Set<Integer> withCurrent = new HashSet<>(abandonedRuns);
        withCurrent.add(run);
        abandonedRuns = withCurrent;
        release();
    }

    /** Removes an abandoned run that has ended; returns false if no abandoned run has that number. */
    boolean endAbandonedRun(int number)
    {
        return abandonedRuns.contains(number) && abandonedRuns.remove(number);
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
        runMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - observation.startedNanos());
        complete();
    }

    /** Completes the task. */
    void complete()
    {
        leaveWorker();
        phase = Phase.DONE;
        checkpoint = null;
    }

    private void leaveWorker()
    {
        if (worker != null)
        {
            worker.removeTask(this);
            worker = null;
        }
        settledNanos = UNSETTLED;
    }

    /** Records the progress reported by a heartbeat. */
    void observe(int percent, double gauge, long nowNanos)
    {
        observation.observe(percent, gauge, nowNanos);
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

    /** Returns whether the latest start may have reached the worker. */
    boolean mayHaveStarted()
    {
        return mayHaveStarted;
    }

    /** Returns whether the worker is known to have started the latest run. */
    boolean hasStarted()
    {
        return hasStarted;
    }

    CrashHistory crashes()
    {
        return crashes;
    }

    void setCrashes(CrashHistory newCrashes)
    {
        crashes = newCrashes;
        suspect = newCrashes.count(Attribution.AT_START) > 0;
    }

    /** Returns whether a worker crashed right after starting the task. */
    boolean isSuspect()
    {
        return suspect;
    }

    /** Returns whether the task is a suspect whose run is still within its isolation period. */
    boolean isIsolated()
    {
        return isSuspect() && isOnWorker() && phase != Phase.STOPPING
                && observedMillis() < CrashGuard.STARTUP_MILLIS;
    }

    void saveCheckpoint(String newCheckpoint)
    {
        if (newCheckpoint != null && !newCheckpoint.isEmpty())
        {
            checkpoint = newCheckpoint;
        }
    }

    void setSpeedLimitPercent(int newPercent, long nowNanos)
    {
        speedLimitPercent = newPercent;
        speedLimitSetNanos = nowNanos;
        speedLimitDelivery.markUnknown();
    }

    /** Returns the delivery of {@link #speedLimitPercent} to the worker. */
    SpeedLimitDelivery speedLimitDelivery()
    {
        return speedLimitDelivery;
    }

    long speedLimitSetNanos()
    {
        return speedLimitSetNanos;
    }

    /**
     * Returns whether the task is on a worker, that is, from its assignment until its run has ended.
     */
    boolean isOnWorker()
    {
        return worker != null;
    }

    boolean isAt(TrackedWorker expectedWorker, int expectedRun)
    {
        return worker == expectedWorker && run == expectedRun;
    }

    Step step()
    {
        return step;
    }

    Phase phase()
    {
        return phase;
    }

    int run()
    {
        return run;
    }

    int failures()
    {
        return failures;
    }

    String checkpoint()
    {
        return checkpoint;
    }

    TrackedWorker worker()
    {
        return worker;
    }

    long settledNanos()
    {
        return settledNanos;
    }

    long startedNanos()
    {
        return observation.startedNanos();
    }

    /** Returns the projected duration of a whole run, see {@link RunObservation#projectedMillis}. */
    double projectedMillis()
    {
        return observation.projectedMillis();
    }

    /**
     * Returns the remaining time of the run at its average speed, in milliseconds, or the estimate if
     * no progress has been observed.
     */
    long remainingMillis(long nowNanos)
    {
        return observation.remainingMillis(step.spec().estimateMillis(), nowNanos);
    }

    /** Returns the duration of the successful run, in milliseconds, or 0 if unknown. */
    long runMillis()
    {
        return runMillis;
    }

    /** Returns the latest run as compared with other runs of the step. */
    RunSpeed runSpeed()
    {
        return runSpeed;
    }

    /** Returns the time for which heartbeats have shown the run, in milliseconds. */
    long observedMillis()
    {
        return observation.observedMillis();
    }

    /**
     * Returns the time from the start of the run to the given monotonic time, in milliseconds; 0 if
     * that time is earlier.
     */
    long millisSinceStart(long nanos)
    {
        return observation.millisSinceStart(nanos);
    }

    long lastProgressNanos()
    {
        return observation.lastProgressNanos();
    }

    int percent()
    {
        return observation.percent();
    }

    int speedLimitPercent()
    {
        return speedLimitPercent;
    }

    double gauge()
    {
        return observation.gauge();
    }

    /** Returns the index of the task in its step. */
    int index()
    {
        return index;
    }

    String name()
    {
        return step.name() + '.' + index;
    }
}
