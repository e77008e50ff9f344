/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * The latest run of a task on a worker: its phase, the effect of the commands sent for it, and its
 * progress. Guarded by the lock of the cell state.
 */
class RunState
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

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double CPU_PER_CORE = 1_000;
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
    private Phase phase = Phase.WAITING;
    private int run;
    private TrackedWorker worker;
    private long settledNanos = UNSETTLED;
    private RunObservation observation = new RunObservation();
    private RunSpeed runSpeed = new RunSpeed(observation);
    private int speedLimitPercent = FULL_PERCENT;
    private long speedLimitSetNanos;
    private final SpeedLimitDelivery speedLimitDelivery = new SpeedLimitDelivery();
    private boolean mayHaveStarted;
    /** Time at which the latest start was sent first. Only valid if {@link #mayHaveStarted} holds. */
    private long sentNanos;
    private boolean hasStarted;
    /** Whether a previous owner recorded the run, and no worker has reported it to this owner. */
    private boolean restoredUnseen;

    RunState(Step step)
    {
        this.step = step;
    }

    /**
     * Begins a run before its start is recorded and sent.
     *
     * @param target the worker
     * @param newRun the run number
     * @param hasCheckpoint whether the run does only the rest of the work
     * @param nowNanos the monotonic time, in nanoseconds
     */
    final void begin(TrackedWorker target, int newRun, boolean hasCheckpoint, long nowNanos)
    {
        phase = Phase.ORDERED;
        run = newRun;
        worker = target;
        settledNanos = UNSETTLED;
        observation.reset(nowNanos);
        runSpeed.begin(target, hasCheckpoint, step);
        speedLimitPercent = FULL_PERCENT;
        speedLimitSetNanos = nowNanos;
        speedLimitDelivery.reset();
        mayHaveStarted = false;
        hasStarted = false;
        restoredUnseen = false;
    }

    /** Marks the run as recorded by a previous owner: the next heartbeat shows whether it exists. */
    final void markRestored(long nowNanos)
    {
        runSpeed.markResumed();
        markSent(nowNanos);
        settledNanos = Long.MIN_VALUE;
        restoredUnseen = true;
        speedLimitDelivery.markUnknown();
    }

    /**
     * Takes over the run of another object, which must leave its worker and take the result of another
     * run next.
     */
    final void takeOver(RunState other)
    {
        phase = other.phase;
        run = other.run;
        worker = other.worker;
        settledNanos = other.settledNanos;
        observation = other.observation;
        runSpeed = other.runSpeed;
        mayHaveStarted = other.mayHaveStarted;
        sentNanos = other.sentNanos;
        hasStarted = other.hasStarted;
        restoredUnseen = other.restoredUnseen;
    }

    /** Takes the progress of another object's run that has ended and is not used any more. */
    final void takeResult(RunState ended)
    {
        observation = ended.observation;
        runSpeed = ended.runSpeed;
    }

    /** Ends the run; the phase is set separately. */
    final void leave()
    {
        worker = null;
        settledNanos = UNSETTLED;
    }

    final void setPhase(Phase newPhase)
    {
        phase = newPhase;
    }

    final void setRun(int newRun)
    {
        run = newRun;
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

    /**
     * Returns whether the start was sent at least the given time ago and neither it nor a stop that was
     * sent because of that is settled.
     */
    boolean isUncertainFor(long nanos, long nowNanos)
    {
        boolean isUnsettled = isOnWorker() && settledNanos == UNSETTLED;
        return isUnsettled && mayHaveStarted && !hasStarted && nowNanos - sentNanos >= nanos;
    }

    /** Marks the task as running, as reported by the worker. */
    void markRunning(long nowNanos)
    {
        if (phase == Phase.ORDERED)
        {
            phase = Phase.RUNNING;
            step.job().markStarted();
            mayHaveStarted = true;
            hasStarted = true;
            restoredUnseen = false;
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

    /** Records the progress reported by a heartbeat. */
    void observe(int percent, double gauge, long nowNanos)
    {
        observation.observe(percent, gauge, nowNanos);
    }

    /** Returns whether the latest start may have reached the worker. */
    boolean mayHaveStarted()
    {
        return mayHaveStarted;
    }

    /**
     * Returns whether a previous owner recorded the run, and no worker has reported it to this owner.
     */
    boolean isRestoredUnseen()
    {
        return restoredUnseen;
    }

    /** Returns whether the worker is known to have started the latest run. */
    boolean hasStarted()
    {
        return hasStarted;
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

    /** Returns the work of the run on its worker, in seconds of a core; 0 if it has no worker. */
    double coreSeconds()
    {
        double seconds = observedMillis() / MILLIS_PER_SECOND;
        return isOnWorker() ? seconds * step.needs().cpuMillis() / CPU_PER_CORE : 0;
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
}
