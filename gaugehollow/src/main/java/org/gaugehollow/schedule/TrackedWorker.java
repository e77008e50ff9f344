/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;

/** One life of a worker in the owner's memory. Guarded by the ledger's lock. */
final class TrackedWorker
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** A worker's clock may run this much slower than ours. */
    private static final double SLOWEST_CLOCK = 1.02;

    /** No look was left without an answer since the last one that was answered. */
    private static final long ANSWERS = Long.MAX_VALUE;

    private final String id;
    private final WorkerIncarnation life;
    private final long knownNanos;
    private final Set<Task> tasks = new LinkedHashSet<>();
    private final List<UnresponsiveRun> leftRuns = new ArrayList<>();
    private final WorkerHealth health = new WorkerHealth();
    private WorkerEntry entry;
    private ComputeResources used = ComputeResources.NONE;
    /** What is left of the capacity; asked for often, and changed seldom. */
    private ComputeResources free = ComputeResources.NONE;
    private boolean held;
    /** Whether the last look showed runs that the owner does not know. */
    private boolean foreignRuns;
    /** The steps of those runs, where their jobs are known. */
    private final List<Step> foreignSteps = new ArrayList<>();
    private boolean lapsing;
    private boolean leaving;
    private long silentNanos = ANSWERS;
    private boolean brokenOff;
    private long listedNanos;
    private long lookedNanos;
    private long clockMillis;
    private long clockReadNanos;
    private long deadlineMillis;
    private long leaseEndNanos;

    /**
     * A life of which nothing is known yet but when its runs have ended.
     *
     * @param id the life as text, see {@link WorkerIncarnation#text}
     * @param leaseEndNanos when its runs have ended
     * @param knownNanos the monotonic clock now
     */
    TrackedWorker(String id, long leaseEndNanos, long knownNanos)
    {
        this.id = id;
        this.life = WorkerIncarnation.parse(id);
        this.leaseEndNanos = leaseEndNanos;
        this.knownNanos = knownNanos;
    }

    void addTask(Task task)
    {
        if (tasks.add(task))
        {
            used = used.plus(task.step().needs());
            measureFree();
        }
    }

    void removeTask(Task task)
    {
        if (tasks.remove(task))
        {
            used = used.minus(task.step().needs());
            measureFree();
        }
    }

    /** A run is left here, and its task goes on elsewhere. */
    void addAbandonedRun(UnresponsiveRun run)
    {
        leftRuns.add(run);
    }

    /** The runs that were left here; they are known no more. */
    List<UnresponsiveRun> removeAbandonedRuns()
    {
        List<UnresponsiveRun> taken = new ArrayList<>(leftRuns);
        leftRuns.clear();
        return taken;
    }

    private void measureFree()
    {
        free = entry == null ? ComputeResources.NONE : entry.capacity().minusClamped(used);
    }

    /**
     * Whether it holds more than its room, which has shrunk since. What runs there goes on: it is no
     * start, and stopping it would throw its work away.
     */
    boolean isOvercommitted()
    {
        return entry != null && !entry.capacity().fits(used);
    }

    ComputeResources free()
    {
        return free;
    }

    /** Whether tasks may be started on it. */
    boolean acceptsStarts()
    {
        return entry != null && held && !lapsing && !entry.draining() && !foreignRuns;
    }

    /** Whether it has said that it leaves, or answers though its entry is gone. */
    boolean isLeaving()
    {
        return leaving;
    }

    /** Whether its lease is left to lapse: no order renews it, and nothing is started on it. */
    void setLeaseExpiring(boolean value)
    {
        lapsing = value;
    }

    boolean isLeaseExpiring()
    {
        return lapsing;
    }

    /** The worker's clock as the newest answer brought it, in milliseconds; 0 if none did. */
    long clockMillis()
    {
        return clockMillis;
    }

    /** Takes note of the worker's clock as an answer brought it. */
    void readClock(long millis, long nowNanos)
    {
        if (millis > 0)
        {
            clockMillis = millis;
            clockReadNanos = nowNanos;
            boundLease();
        }
    }

    /**
     * The deadline for an order that is to let the worker's runs live for some time from now; the
     * newest one that was sent while the lease is left to lapse, 0 if there is none.
     */
    long deadlineIn(long leaseMillis, long nowNanos)
    {
        if (clockMillis == 0 || lapsing)
        {
            return deadlineMillis;
        }
        long deadline = clockMillis + (nowNanos - clockReadNanos) / NANOS_PER_MILLI + leaseMillis;
        deadlineMillis = Math.max(deadlineMillis, deadline);
        boundLease();
        return deadline;
    }

    private void boundLease()
    {
        if (deadlineMillis > 0 && clockMillis > 0)
        {
            double left = Math.max(0, deadlineMillis - clockMillis) * SLOWEST_CLOCK;
            leaseEndNanos = clockReadNanos + (long) (left * NANOS_PER_MILLI);
        }
    }

    /** When everything that runs there has surely been ended by the worker itself. */
    long leaseEndNanos()
    {
        return leaseEndNanos;
    }

    void setEntry(WorkerEntry newest, long nowNanos)
    {
        entry = newest;
        leaving = newest.draining();
        listedNanos = nowNanos;
        measureFree();
    }

    /** The platform no longer lists it. */
    void unlisted()
    {
        entry = null;
        measureFree();
    }

    /** When the newest entry came. */
    long listedNanos()
    {
        return listedNanos;
    }

    /** A look at it was answered. */
    void recordHeartbeat(long nowNanos)
    {
        held = true;
        leaving = leaving || entry == null;
        lookedNanos = nowNanos;
        silentNanos = ANSWERS;
    }

    /**
     * A look at it was not answered.
     *
     * @param nowNanos the monotonic clock
     * @param broken whether the connection broke before the look's time was over
     */
    void recordMissedHeartbeat(long nowNanos, boolean broken)
    {
        held = false;
        if (silentNanos == ANSWERS)
        {
            silentNanos = nowNanos;
            brokenOff = broken;
        }
    }

    /** Whether its newest look was not answered. */
    boolean isUnresponsive()
    {
        return silentNanos != ANSWERS;
    }

    /** Whether no look was answered for some time, though some were sent. */
    boolean isUnresponsiveFor(long nanos, long nowNanos)
    {
        return silentNanos != ANSWERS && nowNanos - silentNanos >= nanos;
    }

    /**
     * Since when its looks are not answered; {@link #hasLostConnection} tells whether there is such a
     * time.
     */
    long unresponsiveSinceNanos()
    {
        return silentNanos;
    }

    /** Whether its silence began with a connection that broke, as when it crashes. */
    boolean hasLostConnection()
    {
        return silentNanos != ANSWERS && brokenOff;
    }

    /** Whether its newest look was answered. */
    boolean isResponsive()
    {
        return held && silentNanos == ANSWERS;
    }

    /** When it last answered a look. */
    long lastHeartbeatNanos()
    {
        return lookedNanos;
    }

    void setLeaseHeld(boolean value)
    {
        held = value;
    }

    /** A new look begins. */
    void clearOrphanRuns()
    {
        foreignRuns = false;
        foreignSteps.clear();
    }

    /**
     * A look showed a run that its task does not know.
     *
     * @param step the step of the task; null if its job is not known
     */
    void addOrphanRun(Step step)
    {
        foreignRuns = true;
        if (step != null)
        {
            foreignSteps.add(step);
        }
    }

    /** The steps of the unknown runs that the last look showed, where their jobs are known. */
    List<Step> orphanSteps()
    {
        return foreignSteps;
    }

    /** The runs that were left here. */
    List<UnresponsiveRun> abandonedRuns()
    {
        return leftRuns;
    }

    /** Whether the last look showed runs that the owner does not know. */
    boolean hasOrphanRuns()
    {
        return foreignRuns;
    }

    boolean isLeaseHeld()
    {
        return held;
    }

    /** The life as text, see {@link WorkerIncarnation#text}. */
    String id()
    {
        return id;
    }

    /** The id of the worker, which its next life may have as well. */
    String worker()
    {
        return life.worker();
    }

    /** Whether it is known when the life began. */
    boolean hasStartTime()
    {
        return life.hasStartTime();
    }

    /** Since when this owner knows of the life. */
    long knownNanos()
    {
        return knownNanos;
    }

    WorkerEntry entry()
    {
        return entry;
    }

    WorkerHealth health()
    {
        return health;
    }

    ComputeResources used()
    {
        return used;
    }

    List<Task> tasks()
    {
        return List.copyOf(tasks);
    }

    /** Visits the tasks; none may be added or taken away meanwhile. */
    void forEachTask(Consumer<Task> visitor)
    {
        tasks.forEach(visitor);
    }

    boolean isIdle()
    {
        return tasks.isEmpty();
    }
}
