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
import org.gaugehollow.urgency.Outlook;
import org.gaugehollow.urgency.StopCosts;

/**
 * Selects runs of less urgent queues to stop for tasks that fit on no worker. A run is eligible
 * only if little of its work is lost and its job has enough slack, or is late with or without it.
 * No run is stopped for tasks that find capacity as soon without a stop. The freed capacity is
 * reserved for the waiting task, because smaller tasks would otherwise keep taking it piece by
 * piece.
 */
final class Preemption
{
    /** Share of a job's initial slack that must be left for its runs to be stopped. */
    private static final double MIN_SLACK_SHARE = 0.5;
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
    private final StopCosts stopCosts;
    private long nowNanos;
    private long wallMillis;
    private long nextSearchNanos;
    private boolean hasSearched;
    private int stepsLeft;
    private int leastUrgentPriority;

    Preemption(CapacityReservations reservations, StopCosts stopCosts)
    {
        this.reservations = reservations;
        this.stopCosts = stopCosts;
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
            leastUrgentPriority = cellState.trackedWorkers().leastUrgentRunning();
        }
    }

    /**
     * Returns whether this round may search for runs to stop for the step. There is no search if no
     * less urgent run exists or if the job will miss its objective even if it gets the capacity.
     */
    boolean canPreempt(Step step)
    {
        boolean mayStart = !step.spec().gang() || step.isIdle();
        boolean isLeastUrgent = step.job().queue().priority() >= leastUrgentPriority;
        return stepsLeft > 0 && !isLeastUrgent && mayStart && canBeInTimeAfterStop(step);
    }

    private boolean canBeInTimeAfterStop(Step step)
    {
        boolean resumes = step.waitingTasks().stream().anyMatch(task -> task.checkpoint() != null);
        return step.job().outlook(wallMillis + stopCosts.startDelayMillis(resumes)).mayBeInTime();
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
            reservations.add(step, placement.worker(),
                    nowNanos + TimeUnit.MILLISECONDS.toNanos(stopCosts.reservationMillis()));
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
        return stopCosts.lostByStopMillis(task.millisSinceStart(nowNanos),
                task.step().spec().checkpointing());
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
        return task.phase() == Task.Phase.STOPPING || task.phase() == Task.Phase.RUNNING
                && stopCosts.endsBeforeStop(task.remainingMillis(nowNanos));
    }

    private long minSlackMillis(Job job)
    {
        return Math.max(stopCosts.jobDelayMillis(), (long) (MIN_SLACK_SHARE * job.initialSlackMillis()));
    }

    private boolean canStop(Task task, Step urgentStep)
    {
        Step step = task.step();
        boolean lessUrgent = step.job().queue().priority() > urgentStep.job().queue().priority();
        boolean independent = !step.spec().longRunning() && !step.spec().gang();
        return task.phase() == Task.Phase.RUNNING && lessUrgent && independent
                && (hasSlack(step.job()) || isLateAnyway(step.job()));
    }

    private boolean hasSlack(Job job)
    {
        return job.slackMillis(wallMillis) >= minSlackMillis(job);
    }

    /** Returns whether a job misses its objective and a stop makes its outlook no worse. */
    private boolean isLateAnyway(Job job)
    {
        Outlook outlook = job.outlook(wallMillis);
        return !outlook.mayBeInTime() && job.outlook(wallMillis + stopCosts.jobDelayMillis()) == outlook;
    }
}
