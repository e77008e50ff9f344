/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gaugehollow.job.JobState;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WorkerScore;

/**
 * Assigns waiting tasks to workers. Jobs are processed in the order of {@link JobOrder}; each task
 * gets the eligible worker with sufficient free capacity and the best rating.
 */
final class Planner
{
    /**
     * A planned start of a task.
     *
     * @param task the task
     * @param run the number of the run to start
     * @param worker the worker
     * @param checkpoint the checkpoint to resume from, or null
     * @param ticket the ticket of the advice service, or null
     */
    record Start(Task task, int run, TrackedWorker worker, String checkpoint, String ticket)
    {
    }

    /**
     * Result of one planning round.
     *
     * @param starts the planned starts, whose tasks are already assigned
     * @param needAdvice steps that need new advice before they can start
     * @param preemptions the runs to stop for more urgent steps
     * @param atQuota the compute resources in use, by customer whose work waits for its quota
     */
    record Plan(List<Start> starts, List<Step> needAdvice, List<PreemptionDecision> preemptions,
            Map<String, ComputeResources> atQuota)
    {
    }

    /**
     * Runs to stop for a step.
     *
     * @param step the step that needs their compute resources
     * @param effects the stops
     */
    record PreemptionDecision(Step step, Effects effects)
    {
    }

    /** Provides the known advice for a step on a worker. */
    interface Tickets
    {
        /** Returns a valid ticket if the step requires one and it is known. */
        Optional<String> ticket(Step step, TrackedWorker worker);

        /** Returns whether the advice service is known to deny the step on the worker. */
        boolean isDenied(Step step, TrackedWorker worker);

        /**
         * Returns whether the advice service is known to allow the step on the worker, even if the ticket
         * is no longer valid.
         */
        boolean isAllowed(Step step, TrackedWorker worker);

        /** Returns whether the step's tickets remain valid for longer than a refresh takes. */
        boolean isFresh(Step step);

        /** Returns the requests for the step since the last answer, if there are any. */
        default Optional<UnansweredAdvice> unanswered(Step step)
        {
            return Optional.empty();
        }
    }

    private final CellState cellState;
    private final Tickets tickets;
    private final WorkerRating rating;
    private final CapacityReservations reservations = new CapacityReservations();
    private final SpeedNeeds speedNeeds;
    private final Preemption preemption = new Preemption(reservations);
    private AdviceBudget adviceBudget = AdviceBudget.NONE;
    private QuotaUsage quotaUsage;
    private List<TrackedWorker> acceptingWorkers = List.of();
    private ComputeResources maxFree = ComputeResources.NONE;
    /** Workers reserved for the isolated run of a suspect; no other task starts there. */
    private Set<TrackedWorker> isolationWorkers = Set.of();
    private long slowPlacements;
    /** Number of steps that may still wait for a fast worker in this round. */
    private int holdsLeft;
    /** Whether the step that is being planned waits for a fast worker. */
    private boolean isStepHeld;

    Planner(CellState cellState, Tickets tickets, WorkerScore score)
    {
        this.cellState = cellState;
        this.tickets = tickets;
        this.rating = new WorkerRating(score);
        this.speedNeeds = new SpeedNeeds(cellState.speeds());
    }

    /** Plans as many starts as the free capacity allows. */
    Plan plan(long nowNanos, long wallMillis)
    {
        Plan plan = new Plan(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        isolationWorkers = cellState.crashGuard().isolationWorkers();
        acceptingWorkers = cellState.workers().stream()
                .filter(worker -> worker.acceptsStarts() && !isolationWorkers.contains(worker)).toList();
        quotaUsage = QuotaUsage.of(cellState.config().customers(), cellState.workers());
        maxFree = acceptingWorkers.stream().map(TrackedWorker::free).reduce(ComputeResources.NONE,
                ComputeResources::max);
        adviceBudget = AdviceBudget.of(acceptingWorkers);
        speedNeeds.beginRound(acceptingWorkers);
        holdsLeft = SpeedHold.MAX_STEPS;
        reservations.removeExpired(nowNanos);
        preemption.beginRound(cellState, nowNanos, wallMillis);
        for (Job job : cellState.waitingByUrgency(wallMillis))
        {
            for (Step step : job.waitingSteps())
            {
                step.setSpeedFit(speedNeeds.fit(step, wallMillis));
                planStep(step, plan, nowNanos);
            }
        }
        return plan;
    }

    private void planStep(Step step, Plan plan, long nowNanos)
    {
        if (waitsForQuota(step, plan))
        {
            return;
        }
        List<TrackedWorker> candidates = workersWithCapacity(step, nowNanos);
        boolean needsTickets = step.job().queue().adviceIfNeeded().isPresent();
        List<TrackedWorker> usable = needsTickets
                ? candidates.stream().filter(worker -> tickets.ticket(step, worker).isPresent()).toList()
                : candidates;
        int startsBefore = plan.starts().size();
        isStepHeld = false;
        if (step.spec().gang())
        {
            placeGang(step, usable, plan, nowNanos);
        }
        else
        {
            placeEach(step, usable, plan, nowNanos);
        }
        boolean hasStarted = plan.starts().size() > startsBefore;
        if (hasStarted && step.job().state() == JobState.QUEUED)
        {
            step.job().setState(JobState.RUNNING);
        }
        if (!step.hasWaiting() || waitsForQuota(step, plan))
        {
            return;
        }
        if (!isStepHeld && preemption.canPreempt(step))
        {
            preemptFor(step, plan, nowNanos);
        }
        if (needsTickets && shouldRequestAdvice(step, candidates))
        {
            plan.needAdvice().add(step);
        }
    }

    /** Returns whether the customer's quota allows further starts of a step in the latest round. */
    boolean allowsQuota(Step step)
    {
        return quotaUsage.allows(step, step.tasksToStartTogether());
    }

    /** Returns the compute resources that the customer of a step used in the latest round. */
    ComputeResources quotaUsage(Step step)
    {
        return quotaUsage.usageOf(step.job().record().customer());
    }

    /** Returns whether a worker was reserved for the isolated run of a suspect in the latest round. */
    boolean isIsolated(TrackedWorker worker)
    {
        return isolationWorkers.contains(worker);
    }

    /** Returns the number of placements on workers that are too slow for the objective of the job. */
    long slowPlacements()
    {
        return slowPlacements;
    }

    private boolean waitsForQuota(Step step, Plan plan)
    {
        boolean waits = !allowsQuota(step);
        if (waits)
        {
            String customer = step.job().record().customer();
            plan.atQuota().put(customer, quotaUsage(step));
        }
        return waits;
    }

    private void preemptFor(Step step, Plan plan, long nowNanos)
    {
        Effects effects = preemption.preempt(step, allowedWorkers(step, nowNanos));
        if (!effects.stops().isEmpty())
        {
            plan.preemptions().add(new PreemptionDecision(step, effects));
        }
    }

    /**
     * Returns whether to request advice for a step. Advice is requested if a task could start now;
     * otherwise it is prefetched so that preemption selects allowed workers and freed capacity is used
     * at once.
     */
    private boolean shouldRequestAdvice(Step step, List<TrackedWorker> candidates)
    {
        return hasCapacityOnAny(step, candidates) && adviceBudget.acquireForFreeCapacity(step)
                || !tickets.isFresh(step) && adviceBudget.acquireForPrefetch(step);
    }

    /**
     * Returns the eligible workers with free capacity for one task of the step; avoided workers only if
     * all eligible workers are avoided. Capacity is checked first because it rules out most workers of
     * a busy cell at low cost.
     */
    private List<TrackedWorker> workersWithCapacity(Step step, long nowNanos)
    {
        if (!maxFree.fits(step.needs()))
        {
            return List.of();
        }
        List<TrackedWorker> preferred = new ArrayList<>();
        List<TrackedWorker> avoided = new ArrayList<>();
        for (TrackedWorker worker : acceptingWorkers)
        {
            if (worker.free().fits(step.needs()) && isEligible(step, worker) && hasCapacity(step, worker, 1))
            {
                (worker.health().isAvoided(nowNanos) ? avoided : preferred).add(worker);
            }
        }
        boolean onlyAvoided = preferred.isEmpty() && !avoided.isEmpty();
        return onlyAvoided && areAllAvoided(step, nowNanos) ? avoided : preferred;
    }

    private boolean areAllAvoided(Step step, long nowNanos)
    {
        return eligibleWorkers(step, nowNanos).stream()
                .allMatch(worker -> worker.health().isAvoided(nowNanos));
    }

    /**
     * Returns the eligible workers regardless of their free capacity; avoided workers only if all are
     * avoided.
     */
    private List<TrackedWorker> eligibleWorkers(Step step, long nowNanos)
    {
        List<TrackedWorker> preferred = new ArrayList<>();
        List<TrackedWorker> avoided = new ArrayList<>();
        for (TrackedWorker worker : acceptingWorkers)
        {
            if (isEligible(step, worker))
            {
                (worker.health().isAvoided(nowNanos) ? avoided : preferred).add(worker);
            }
        }
        return preferred.isEmpty() ? avoided : preferred;
    }

    /** Returns the eligible workers that need no advice or are known to be allowed. */
    private List<TrackedWorker> allowedWorkers(Step step, long nowNanos)
    {
        return eligibleWorkers(step, nowNanos).stream().filter(worker -> tickets.isAllowed(step, worker))
                .toList();
    }

    private boolean isEligible(Step step, TrackedWorker worker)
    {
        return step.suits(worker.entry()) && !tickets.isDenied(step, worker);
    }

    private boolean hasCapacityOnAny(Step step, List<TrackedWorker> workers)
    {
        return workers.stream().anyMatch(worker -> hasCapacity(step, worker, 1));
    }

    /** Returns whether a worker has capacity for tasks of a step that is not reserved for others. */
    boolean hasCapacity(Step step, TrackedWorker worker, int tasks)
    {
        ComputeResources needs = step.needs().times(tasks);
        return step.canAddTo(worker, tasks)
                && worker.free().fits(needs.plus(reservations.reservedAgainst(step, worker)));
    }

    private void placeEach(Step step, List<TrackedWorker> usable, Plan plan, long nowNanos)
    {
        for (Task task : step.waitingTasks())
        {
            TrackedWorker best = quotaUsage.allows(step, 1)
                    ? bestWorker(task, usable, Map.of(), nowNanos)
                    : null;
            if (best == null || waitsForFastWorker(step, best, nowNanos))
            {
                return;
            }
            start(task, task.run() + 1, best, task.checkpoint(), plan, nowNanos);
        }
    }

    /** Returns whether a step waits for a fast worker instead of starting on a slow one. */
    private boolean waitsForFastWorker(Step step, TrackedWorker best, long nowNanos)
    {
        boolean holds = holdsLeft > 0 && step.isTooSlow(best)
                && SpeedHold.holds(step, allowedWorkers(step, nowNanos), nowNanos);
        holdsLeft -= holds ? 1 : 0;
        isStepHeld |= holds;
        return holds;
    }

    /** Places all tasks of a gang or none, and only after its previous run has ended completely. */
    private void placeGang(Step step, List<TrackedWorker> usable, Plan plan, long nowNanos)
    {
        if (!step.isIdle())
        {
            return;
        }
        List<TrackedWorker> placements = SpeedGroups.of(step, usable).stream()
                .map(group -> chooseForGang(step, group, nowNanos)).filter(chosen -> !chosen.isEmpty())
                .findFirst().orElse(List.of());
        int run = step.nextGangRun();
        String checkpoint = step.gangCheckpoint();
        for (int i = 0; i < placements.size(); i++)
        {
            start(step.tasks().get(i), run, placements.get(i), checkpoint, plan, nowNanos);
        }
    }

    /** Returns a worker for each task of a gang, or no workers if they don't have the capacity. */
    private List<TrackedWorker> chooseForGang(Step step, List<TrackedWorker> usable, long nowNanos)
    {
        Map<TrackedWorker, Integer> chosen = new HashMap<>();
        List<TrackedWorker> placements = new ArrayList<>();
        for (Task task : step.tasks())
        {
            TrackedWorker best = bestWorker(task, usable, chosen, nowNanos);
            if (best == null)
            {
                return List.of();
            }
            chosen.merge(best, 1, Integer::sum);
            placements.add(best);
        }
        return placements;
    }

    private void start(Task task, int run, TrackedWorker worker, String checkpoint, Plan plan, long nowNanos)
    {
        task.assign(worker, run, nowNanos);
        quotaUsage.add(task.step());
        slowPlacements += task.step().isTooSlow(worker) ? 1 : 0;
        if (task.isSuspect())
        {
            isolationWorkers.add(worker);
        }
        reservations.consume(task.step(), worker);
        String ticket = tickets.ticket(task.step(), worker).orElse(null);
        plan.starts().add(new Start(task, run, worker, checkpoint, ticket));
    }

    private TrackedWorker bestWorker(Task task, List<TrackedWorker> usable,
            Map<TrackedWorker, Integer> chosen, long nowNanos)
    {
        TrackedWorker best = null;
        double bestRating = Double.MAX_VALUE;
        for (TrackedWorker worker : usable)
        {
            int alreadyPlaced = chosen.getOrDefault(worker, 0);
            if (!isolationWorkers.contains(worker) && hasCapacity(task.step(), worker, alreadyPlaced + 1))
            {
                double workerRating = rating.rating(task, worker, alreadyPlaced, nowNanos);
                if (workerRating < bestRating)
                {
                    best = worker;
                    bestRating = workerRating;
                }
            }
        }
        return best;
    }
}
