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

/** One task in the owner's memory. Guarded by the ledger's lock. */
final class Task
{
    /** Where a task stands. */
    enum Phase
    {
        /** Its turn has come or will come; nothing of it runs. */
        WAITING,
        /** A start may have been sent; whether it arrived is not known. */
        ORDERED,
        /** The worker has it. */
        RUNNING,
        /** A stop may have been sent; it counts as running until its end is known. */
        STOPPING,
        /** A run ended well. */
        DONE
    }

    /** What {@link #percent} and {@link #speedLimitPercent} are parts of. */
    static final int WHOLE = 100;
    /** An order that is not settled yet. */
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
    private long ranMillis;
    private int pace = WHOLE;
    private long pacedNanos;
    private String failedOn;
    private CrashHistory crashes = CrashHistory.NONE;
    /** Told by the history; kept, since it is asked for each pair of a task and a worker. */
    private boolean suspect;
    /** Whether its newest start may have reached the worker. */
    private boolean mayHaveBegun;
    /** Whether the worker is known to have had its newest run. */
    private boolean hasBegun;
    /** Runs that were left on workers that do not answer; each may still go on or have ended. */
    private Set<Integer> copies = Set.of();
    private boolean doneByCopy;

    Task(Step step, int index)
    {
        this.step = step;
        this.index = index;
    }

    /** Takes over what an earlier owner recorded. */
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
            order(recordedWorker, run, nowNanos);
            mayHaveBegun = true;
            settledNanos = Long.MIN_VALUE;
        }
    }

    TaskProgress progress()
    {
        return new TaskProgress(run, failures, phase == Phase.DONE || doneByCopy,
                worker == null ? null : worker.id(), checkpoint, crashes.isEmpty() ? null : crashes);
    }

    /** A start is about to be recorded and sent. */
    void order(TrackedWorker target, int newRun, long nowNanos)
    {
        phase = Phase.ORDERED;
        run = newRun;
        worker = target;
        settledNanos = UNSETTLED;
        observation.ordered(nowNanos);
        pace = WHOLE;
        pacedNanos = nowNanos;
        mayHaveBegun = false;
        hasBegun = false;
        target.addTask(this);
    }

    /** The start is sent now. */
    void sent()
    {
        mayHaveBegun = true;
    }

    /** The worker has the run. */
    void begun(long nowNanos)
    {
        if (phase == Phase.ORDERED)
        {
            phase = Phase.RUNNING;
            mayHaveBegun = true;
            hasBegun = true;
            observation.begun(nowNanos);
        }
    }

    /**
     * From now on, a look that was sent later and does not show the run proves that it is not there.
     */
    void settle(long nowNanos)
    {
        settledNanos = nowNanos;
    }

    /**
     * A start was answered: the worker has the run. It is no answer to a stop that was decided since;
     * taken for one, it would keep a stop that was not sent yet from ever being sent.
     */
    void startAnswered(long nowNanos)
    {
        begun(nowNanos);
        if (phase != Phase.STOPPING)
        {
            settle(nowNanos);
        }
    }

    /**
     * A stop of a run was answered. Only the first answer counts, and it says nothing of a later run.
     */
    void settleStop(TrackedWorker slot, int stoppedRun, long nowNanos)
    {
        if (phase == Phase.STOPPING && isAt(slot, stoppedRun) && settledNanos == UNSETTLED)
        {
            settle(nowNanos);
        }
    }

    /** A stop is about to be sent. */
    void stopping()
    {
        phase = Phase.STOPPING;
        settledNanos = UNSETTLED;
    }

    /** Nothing of it runs any more; unless a copy ended well it waits for another run. */
    void release()
    {
        if (doneByCopy)
        {
            done();
            return;
        }
        leaveWorker();
        phase = Phase.WAITING;
    }

    /** Whether several runs may go on side by side, of which the first to end well counts. */
    boolean mayHaveCopies()
    {
        StepSpec spec = step.spec();
        return spec.speculative() && !spec.gang() && !spec.longRunning();
    }

    /** Its run stays where it is, and another may be started. */
    void abandonRun()
    {
        Set<Integer> left = new HashSet<>(copies);
        left.add(run);
        copies = left;
        release();
    }

    /** The end of a run that was left is known; false if there is none of that number. */
    boolean endCopy(int number)
    {
        return copies.contains(number) && copies.remove(number);
    }

    /** A run that was left ended well; what else runs of the task is to be stopped. */
    void doneByCopy()
    {
        doneByCopy = true;
        if (!occupies())
        {
            done();
        }
    }

    /** A run ended well. */
    void done(long nowNanos)
    {
        ranMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - observation.startedNanos());
        done();
    }

    /** A run ended well, or the one that stands for it. */
    void done()
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

    /** Takes note of what a look at the worker shows. */
    void observe(int percent, double gauge, long nowNanos)
    {
        observation.observe(percent, gauge, nowNanos);
    }

    /** A run of it failed. */
    void failed()
    {
        failures++;
    }

    /** Remembers the worker on which a run failed, so that the next one goes elsewhere. */
    void failedOn(TrackedWorker slot)
    {
        failedOn = slot.id();
    }

    boolean hasFailedOn(TrackedWorker slot)
    {
        return slot.id().equals(failedOn);
    }

    /** Whether its newest start may have reached the worker. */
    boolean mayHaveBegun()
    {
        return mayHaveBegun;
    }

    /** Whether the worker is known to have had its newest run. */
    boolean hasBegun()
    {
        return hasBegun;
    }

    CrashHistory crashes()
    {
        return crashes;
    }

    void setCrashes(CrashHistory newest)
    {
        crashes = newest;
        suspect = newest.count(Attribution.AT_START) > 0;
    }

    /** Whether a worker crashed right after it had started the task. */
    boolean isSuspect()
    {
        return suspect;
    }

    /** Whether a run of a suspect has not outlived its start yet. */
    boolean isIsolated()
    {
        return isSuspect() && occupies() && phase != Phase.STOPPING && seenMillis() < CrashGuard.TRIAL_MILLIS;
    }

    void saved(String state)
    {
        if (state != null && !state.isEmpty())
        {
            checkpoint = state;
        }
    }

    void setSpeedLimitPercent(int newPace, long nowNanos)
    {
        pace = newPace;
        pacedNanos = nowNanos;
    }

    long speedLimitSetNanos()
    {
        return pacedNanos;
    }

    /** Whether it takes room on its worker. */
    boolean occupies()
    {
        return worker != null;
    }

    boolean isAt(TrackedWorker slot, int itsRun)
    {
        return worker == slot && run == itsRun;
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

    /** See {@link RunObservation#millisAtPresentSpeed}. */
    double millisAtPresentSpeed()
    {
        return observation.millisAtPresentSpeed();
    }

    /**
     * How long the run still takes if it goes on as it did, in milliseconds; the estimate where the
     * looks show no progress yet.
     */
    long millisToEnd(long nowNanos)
    {
        return observation.millisToEnd(step.spec().estimateMillis(), nowNanos);
    }

    /** How long the run that ended well took, in milliseconds; 0 if it is not known. */
    long ranMillis()
    {
        return ranMillis;
    }

    /** How long the looks have shown its run at work, in milliseconds. */
    long seenMillis()
    {
        return observation.seenMillis();
    }

    /** How long after its run began a moment is, in milliseconds; 0 for one before. */
    long millisUntil(long nanos)
    {
        return observation.millisUntil(nanos);
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
        return pace;
    }

    double gauge()
    {
        return observation.gauge();
    }

    String name()
    {
        return step.name() + '.' + index;
    }
}
