/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.ComputeResources;

/**
 * Selects runs of less urgent queues to stop for tasks that fit on no worker. A run is eligible
 * only if little of its work is lost and its job has enough slack. The freed capacity is reserved
 * for the waiting task, because smaller tasks would otherwise keep taking it piece by piece.
 */
final class Preemption
{
    /**
     * Lifetime of a reservation; covers the stop, which takes up to 0.4 s, the report of the run's end
     * and a refresh of the advice.
     */
    private static final long RESERVATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /**
     * Runs that end within this time are not stopped, because a stop would not free capacity sooner.
     */
    private static final long ENDS_SOON_MILLIS = 300;
    /** Delay of a job whose run is stopped: the stop, another start and restoring the checkpoint. */
    private static final long STOP_COST_MILLIS = 2_000;
    /** Share of a job's initial slack that must be left for its runs to be stopped. */
    private static final double MIN_SLACK_SHARE = 0.5;
    /** Work lost by a run with checkpoints: the time to restore its state. */
    private static final long RESTORE_MILLIS = 600;
    /** Maximum work lost by preemption, as a share of the work of the task to start. */
    private static final double MAX_LOST_WORK_SHARE = 0.5;

    /** The search for runs to stop is expensive, so its frequency and number of steps are limited. */
    private static final long SEARCH_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int MAX_STEPS_PER_PERIOD = 16;

    /** Capacity for one task on a worker and the runs to stop for it. */
    private record Placement(TrackedWorker worker, List<Task> victims, double lostMillis)
    {
    }

    private final CapacityReservations reservations;
    private long nowNanos;
    private long wallMillis;
    private long nextSearchNanos;
    private boolean hasSearched;
    private int stepsLeft;
    private int leastUrgentPriority;

    Preemption(CapacityReservations reservations)
    {
        this.reservations = reservations;
    }

    /**
     * Starts a planning round.
     *
     * @param cellState the jobs and workers of the cell
     * @param currentNanos the monotonic time, in nanoseconds
     * @param currentWallMillis the wall-clock time, in milliseconds since 1970
     */
    void beginRound(CellState cellState, long currentNanos, long currentWallMillis)
    {
        nowNanos = currentNanos;
        wallMillis = currentWallMillis;
        stepsLeft = 0;
        if (!hasSearched || currentNanos - nextSearchNanos >= 0)
        {
            hasSearched = true;
            nextSearchNanos = currentNanos + SEARCH_PERIOD_NANOS;
            stepsLeft = MAX_STEPS_PER_PERIOD;
            leastUrgentPriority = cellState.leastUrgentRunning();
        }
    }

    /**
     * Returns whether this round may search for runs to stop for the step. There is no search if no
     * less urgent run exists or if the job will miss its objective anyway.
     */
    boolean canPreempt(Step step)
    {
        boolean mayStart = !step.spec().gang() || step.isIdle();
        boolean isLeastUrgent = step.job().queue().priority() >= leastUrgentPriority;
        return stepsLeft > 0 && !isLeastUrgent && mayStart && !step.job().willMissObjective(wallMillis);
    }

    /**
     * Selects runs to stop for the waiting tasks of a step: for all tasks of a gang, otherwise for as
     * many as possible.
     *
     * @param step the step
     * @param allowed the workers that may run it
     * @return the runs to stop
     */
    Effects preempt(Step step, Collection<TrackedWorker> allowed)
    {
        Effects effects = new Effects();
        if (!canPreempt(step))
        {
            return effects;
        }
        stepsLeft--;
        int unreserved = step.waitingTasks().size() - reservations.countOf(step);
        List<Placement> placements = new ArrayList<>();
        Set<Task> chosenVictims = new HashSet<>();
        for (int i = 0; i < unreserved; i++)
        {
            Placement placement = cheapestPlacement(step, allowed, placements, chosenVictims);
            if (placement == null)
            {
                break;
            }
            placements.add(placement);
            chosenVictims.addAll(placement.victims());
        }
        if (step.spec().gang() && placements.size() < unreserved)
        {
            return effects;
        }
        for (Placement placement : placements)
        {
            reservations.add(step, placement.worker(), nowNanos + RESERVATION_NANOS);
            placement.victims().forEach(effects::stop);
        }
        return effects;
    }

    private Placement cheapestPlacement(Step step, Collection<TrackedWorker> allowed, List<Placement> chosen,
            Set<Task> chosenVictims)
    {
        Placement best = null;
        for (TrackedWorker worker : allowed)
        {
            int alreadyReserved = reservations.countOf(step, worker)
                    + (int) chosen.stream().filter(placement -> placement.worker() == worker).count();
            Placement placement = step.canAddTo(worker, alreadyReserved + 1)
                    ? findPlacement(step, worker, alreadyReserved + 1, chosenVictims)
                    : null;
            if (placement != null && (best == null || placement.lostMillis() < best.lostMillis()))
            {
                best = placement;
            }
        }
        return best;
    }

    /**
     * Returns the runs to stop so that the worker has capacity for the given number of tasks, or null
     * if that is not possible.
     */
    private Placement findPlacement(Step step, TrackedWorker worker, int tasks, Set<Task> chosenVictims)
    {
        ComputeResources required = step.needs().times(tasks)
                .plus(reservations.reservedAgainst(step, worker));
        ComputeResources available = worker.free();
        List<Task> candidates = new ArrayList<>();
        for (Task task : worker.tasks())
        {
            if (chosenVictims.contains(task) || endsSoon(task))
            {
                available = available.plus(task.step().needs());
            }
            else if (canStop(task, step))
            {
                candidates.add(task);
            }
        }
        candidates.sort(Comparator.comparingLong(this::lostMillis));
        List<Task> victims = new ArrayList<>();
        double lost = 0;
        for (Task candidate : candidates)
        {
            if (!available.fits(required))
            {
                available = available.plus(candidate.step().needs());
                victims.add(candidate);
                lost += shareOfWorker(candidate.step(), worker) * lostMillis(candidate);
            }
        }
        double maxLost = MAX_LOST_WORK_SHARE * shareOfWorker(step, worker) * step.spec().estimateMillis();
        return available.fits(required) && lost <= maxLost ? new Placement(worker, victims, lost) : null;
    }

    private long lostMillis(Task task)
    {
        long ranMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - task.startedNanos());
        return task.step().spec().checkpointing() ? Math.min(ranMillis, RESTORE_MILLIS) : ranMillis;
    }

    /** Returns the share of a worker's capacity that a task of the step uses. */
    private static double shareOfWorker(Step step, TrackedWorker worker)
    {
        ComputeResources needs = step.needs();
        ComputeResources capacity = worker.entry().capacity();
        return Math.max(ratio(needs.cpuMillis(), capacity.cpuMillis()),
                ratio(needs.accelerators(), capacity.accelerators()));
    }

    private static double ratio(int amount, int total)
    {
        return total == 0 ? 0 : (double) amount / total;
    }

    private boolean endsSoon(Task task)
    {
        return task.phase() == Task.Phase.STOPPING
                || task.phase() == Task.Phase.RUNNING && task.remainingMillis(nowNanos) <= ENDS_SOON_MILLIS;
    }

    private static long minSlackMillis(Job job)
    {
        return Math.max(STOP_COST_MILLIS, (long) (MIN_SLACK_SHARE * job.initialSlackMillis()));
    }

    private boolean canStop(Task task, Step urgentStep)
    {
        Step step = task.step();
        boolean lessUrgent = step.job().queue().priority() > urgentStep.job().queue().priority();
        boolean independent = !step.spec().longRunning() && !step.spec().gang();
        return task.phase() == Task.Phase.RUNNING && lessUrgent && independent
                && step.job().slackMillis(wallMillis) >= minSlackMillis(step.job());
    }
}
