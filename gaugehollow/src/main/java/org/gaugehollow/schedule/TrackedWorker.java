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
import org.gaugehollow.speed.WorkerSpeed;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;

/**
 * One worker incarnation in the cell state. Guarded by the lock of the cell state.
 */
final class TrackedWorker
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Factor by which the clock of a worker may run slower than the local clock. */
    static final double MAX_CLOCK_DRIFT_FACTOR = 1.02;

    /** Value of {@link #unresponsiveSinceNanos} while the worker responds. */
    private static final long RESPONSIVE = Long.MAX_VALUE;

    private final String id;
    private final WorkerIncarnation incarnation;
    private final long firstSeenNanos;
    private final Set<Task> tasks = new LinkedHashSet<>();
    private final List<UnresponsiveRun> abandonedRuns = new ArrayList<>();
    private final WorkerHealth health = new WorkerHealth();
    private final WorkerSpeed speed = new WorkerSpeed();
    private WorkerEntry entry;
    private ComputeResources used = ComputeResources.NONE;
    /** Cached, since it is read often and changes rarely. */
    private ComputeResources free = ComputeResources.NONE;
    private boolean leaseHeld;
    private boolean hasOrphanRuns;
    /** Steps of the orphan runs whose jobs are known. */
    private final List<Step> orphanSteps = new ArrayList<>();
    private boolean leaseExpiring;
    private boolean leaving;
    private long unresponsiveSinceNanos = RESPONSIVE;
    private boolean connectionLost;
    private long listedNanos;
    private boolean hasAnswered;
    private long lastHeartbeatNanos;
    private long clockMillis;
    private long clockUpdatedNanos;
    private long deadlineMillis;
    private long leaseEndNanos;

    /**
     * Creates a tracked worker of which only the end of its lease is known.
     *
     * @param id the incarnation as text, see {@link WorkerIncarnation#text}
     * @param leaseEndNanos monotonic time at which all its runs have ended
     * @param firstSeenNanos current monotonic time
     */
    TrackedWorker(String id, long leaseEndNanos, long firstSeenNanos)
    {
        this.id = id;
        this.incarnation = WorkerIncarnation.parse(id);
        this.leaseEndNanos = leaseEndNanos;
        this.firstSeenNanos = firstSeenNanos;
    }

    void addTask(Task task)
    {
        if (tasks.add(task))
        {
            used = used.plus(task.step().needs());
            updateFree();
        }
    }

    void removeTask(Task task)
    {
        if (tasks.remove(task))
        {
            used = used.minus(task.step().needs());
            updateFree();
        }
    }

    /** Records an abandoned run whose task continues elsewhere. */
    void addAbandonedRun(UnresponsiveRun run)
    {
        abandonedRuns.add(run);
    }

    /** Removes and returns the abandoned runs. */
    List<UnresponsiveRun> removeAbandonedRuns()
    {
        List<UnresponsiveRun> removed = new ArrayList<>(abandonedRuns);
        abandonedRuns.clear();
        return removed;
    }

    private void updateFree()
    {
        free = entry == null ? ComputeResources.NONE : entry.capacity().minusClamped(used);
    }

    /**
     * Returns whether the tasks use more than the capacity, which can shrink while they run. They
     * continue to run, since stopping them would discard their work.
     */
    boolean isOvercommitted()
    {
        return entry != null && !entry.capacity().fits(used);
    }

    ComputeResources free()
    {
        return free;
    }

    /** Returns whether tasks may be started on this worker. */
    boolean acceptsStarts()
    {
        return entry != null && leaseHeld && !leaseExpiring && !entry.draining() && !hasOrphanRuns;
    }

    /**
     * Returns whether the worker has announced that it leaves, or responds although its entry is gone.
     */
    boolean isLeaving()
    {
        return leaving;
    }

    /**
     * Sets whether the lease is left to expire: no heartbeat renews it, and nothing is started on the
     * worker.
     */
    void setLeaseExpiring(boolean value)
    {
        leaseExpiring = value;
    }

    boolean isLeaseExpiring()
    {
        return leaseExpiring;
    }

    /**
     * Returns the clock of the worker in milliseconds as of the newest reply, or 0 if there was none.
     */
    long clockMillis()
    {
        return clockMillis;
    }

    /** Updates the clock of the worker from a reply. */
    void updateClock(long millis, long nowNanos)
    {
        if (millis > 0)
        {
            clockMillis = millis;
            clockUpdatedNanos = nowNanos;
            updateLeaseEnd();
        }
    }

    /**
     * Returns the deadline for a command that keeps the runs of the worker alive for the given time
     * from a base. While the lease is left to expire, returns the newest deadline that was sent, or 0
     * if there is none.
     */
    long extendDeadline(long leaseMillis, long baseNanos)
    {
        if (clockMillis == 0 || leaseExpiring)
        {
            return deadlineMillis;
        }
        long deadline = clockMillis + (baseNanos - clockUpdatedNanos) / NANOS_PER_MILLI + leaseMillis;
        deadlineMillis = Math.max(deadlineMillis, deadline);
        updateLeaseEnd();
        return deadline;
    }

    private void updateLeaseEnd()
    {
        if (deadlineMillis > 0 && clockMillis > 0)
        {
            double remainingMillis = Math.max(0, deadlineMillis - clockMillis) * MAX_CLOCK_DRIFT_FACTOR;
            leaseEndNanos = clockUpdatedNanos + (long) (remainingMillis * NANOS_PER_MILLI);
        }
    }

    /** Limits the end of a lease that this owner has not renewed. */
    void limitUnknownLease(long endNanos)
    {
        if (deadlineMillis == 0)
        {
            leaseEndNanos = Math.min(leaseEndNanos, endNanos);
        }
    }

    /** Returns the monotonic time at which the worker has certainly ended all its runs. */
    long leaseEndNanos()
    {
        return leaseEndNanos;
    }

    /**
     * Returns the monotonic time after which the tasks of the worker are released if it doesn't answer
     * before.
     */
    long releaseNanos()
    {
        return leaseEndNanos + OwnerTerm.RUN_END_MARGIN_NANOS;
    }

    void setEntry(WorkerEntry newEntry, long nowNanos)
    {
        entry = newEntry;
        leaving = newEntry.draining();
        listedNanos = nowNanos;
        updateFree();
    }

    /** Removes the entry of a worker that the platform no longer lists. */
    void clearEntry()
    {
        entry = null;
        updateFree();
    }

    /** Returns the monotonic time at which the newest entry was read. */
    long listedNanos()
    {
        return listedNanos;
    }

    /** Records an answered heartbeat. */
    void recordHeartbeat(long nowNanos)
    {
        leaseHeld = true;
        leaving = leaving || entry == null;
        hasAnswered = true;
        lastHeartbeatNanos = nowNanos;
        unresponsiveSinceNanos = RESPONSIVE;
    }

    /**
     * Records an unanswered heartbeat.
     *
     * @param nowNanos current monotonic time
     * @param connectionBroken whether the connection broke before the timeout
     */
    void recordMissedHeartbeat(long nowNanos, boolean connectionBroken)
    {
        leaseHeld = false;
        if (unresponsiveSinceNanos == RESPONSIVE)
        {
            unresponsiveSinceNanos = nowNanos;
            connectionLost = connectionBroken;
        }
    }

    /** Returns whether the newest heartbeat was not answered. */
    boolean isUnresponsive()
    {
        return unresponsiveSinceNanos != RESPONSIVE;
    }

    /** Returns whether the worker has been unresponsive for at least the given time. */
    boolean isUnresponsiveFor(long nanos, long nowNanos)
    {
        return unresponsiveSinceNanos != RESPONSIVE && nowNanos - unresponsiveSinceNanos >= nanos;
    }

    /**
     * Returns the monotonic time of the first unanswered heartbeat. Only valid if
     * {@link #isUnresponsive} holds.
     */
    long unresponsiveSinceNanos()
    {
        return unresponsiveSinceNanos;
    }

    /** Returns whether the worker became unresponsive by a lost connection, as in a crash. */
    boolean hasLostConnection()
    {
        return unresponsiveSinceNanos != RESPONSIVE && connectionLost;
    }

    /** Returns whether the newest heartbeat was answered. */
    boolean isResponsive()
    {
        return leaseHeld && unresponsiveSinceNanos == RESPONSIVE;
    }

    /** Returns whether the worker has answered a heartbeat of this owner. */
    boolean hasAnswered()
    {
        return hasAnswered;
    }

    /** Returns the monotonic time of the last answered heartbeat, 0 if there is none. */
    long lastHeartbeatNanos()
    {
        return lastHeartbeatNanos;
    }

    void setLeaseHeld(boolean value)
    {
        leaseHeld = value;
    }

    /** Clears the orphan runs before a new heartbeat is evaluated. */
    void clearOrphanRuns()
    {
        hasOrphanRuns = false;
        orphanSteps.clear();
    }

    /**
     * Records an orphan run.
     *
     * @param step the step of the run, or null if its job is not known
     */
    void addOrphanRun(Step step)
    {
        hasOrphanRuns = true;
        if (step != null)
        {
            orphanSteps.add(step);
        }
    }

    /** Returns the steps of the orphan runs in the last heartbeat whose jobs are known. */
    List<Step> orphanSteps()
    {
        return orphanSteps;
    }

    /** Returns the abandoned runs. */
    List<UnresponsiveRun> abandonedRuns()
    {
        return abandonedRuns;
    }

    /**
     * Returns whether the last heartbeat reported orphan runs, that is, runs that the cell state does
     * not know.
     */
    boolean hasOrphanRuns()
    {
        return hasOrphanRuns;
    }

    boolean isLeaseHeld()
    {
        return leaseHeld;
    }

    /** Returns the incarnation as text, see {@link WorkerIncarnation#text}. */
    String id()
    {
        return id;
    }

    /** Returns the worker id, which is shared by all incarnations of the worker. */
    String workerId()
    {
        return incarnation.worker();
    }

    /** Returns whether the start time of the incarnation is known. */
    boolean hasStartTime()
    {
        return incarnation.hasStartTime();
    }

    /** Returns the monotonic time at which this owner began to track the incarnation. */
    long firstSeenNanos()
    {
        return firstSeenNanos;
    }

    WorkerEntry entry()
    {
        return entry;
    }

    WorkerHealth health()
    {
        return health;
    }

    /** Returns the estimated speed, see {@link WorkerSpeed#slowness}. */
    WorkerSpeed speed()
    {
        return speed;
    }

    ComputeResources used()
    {
        return used;
    }

    List<Task> tasks()
    {
        return List.copyOf(tasks);
    }

    /** Calls the visitor for each task. The visitor must not add or remove tasks. */
    void forEachTask(Consumer<Task> visitor)
    {
        tasks.forEach(visitor);
    }

    boolean isIdle()
    {
        return tasks.isEmpty();
    }
}
