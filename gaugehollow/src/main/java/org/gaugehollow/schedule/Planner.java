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
import java.util.function.Predicate;

import org.gaugehollow.job.Customers;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WorkerScore;
import org.gaugehollow.urgency.Outlook;
import org.gaugehollow.urgency.StopCosts;

/**
 * Assigns waiting tasks to workers. Steps are processed in the order of {@link PlacementOrder};
 * each task gets the eligible worker with sufficient free capacity and the best rating.
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
     * @param heldBack details by customer that is held back by its share
     */
    record Plan(List<Start> starts, List<Step> needAdvice, List<PreemptionDecision> preemptions,
            Map<String, String> atQuota, Map<String, String> heldBack)
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

    private final CellState cellState;
    private final Tickets tickets;
    private final WorkerRating rating;
    private final CapacityReservations reservations = new CapacityReservations();
    private final SpeedNeeds speedNeeds;
    private final Preemption preemption;
    private final OverdueRoom overdueRoom = new OverdueRoom(reservations);
    private final PlacementOrder placementOrder = new PlacementOrder();
    private final AdvicePrefetch advicePrefetch;
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
        this(cellState, tickets, score, StopCosts.DEFAULT);
    }

    Planner(CellState cellState, Tickets tickets, WorkerScore score, StopCosts stopCosts)
    {
        this.preemption = new Preemption(reservations, stopCosts);
        this.cellState = cellState;
        this.tickets = tickets;
        this.rating = new WorkerRating(score);
        this.speedNeeds = new SpeedNeeds(cellState.speeds());
        this.advicePrefetch = new AdvicePrefetch(cellState, tickets);
    }

    /** Plans as many starts as the free capacity allows. */
    Plan plan(long nowNanos, long wallMillis)
    {
        Plan plan = new Plan(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new HashMap<>(),
                new HashMap<>());
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
        planSteps(plan, nowNanos, wallMillis);
        plan.needAdvice().addAll(advicePrefetch.choose(adviceBudget, nowNanos, wallMillis));
        return plan;
    }

    private void planSteps(Plan plan, long nowNanos, long wallMillis)
    {
        List<Job> jobs = cellState.waitingByUrgency(wallMillis);
        PlacementOrder.Placer placer = (step, overdue) ->
        {
            step.setSpeedFit(speedNeeds.fit(step, wallMillis));
            return planStep(step, overdue, plan, nowNanos);
        };
        Customers customers = cellState.config().customers();
        if (!customers.keysRequired())
        {
            PlacementOrder.placeInOrder(jobs, placer);
            return;
        }
        ComputeResources capacity = acceptingWorkers.stream().map(worker -> worker.entry().capacity())
                .reduce(ComputeResources.NONE, ComputeResources::plus);
        plan.heldBack().putAll(placementOrder.placeByShare(jobs, quotaUsage,
                new PlacementOrder.Round(customers.weights(), capacity, nowNanos, wallMillis), placer));
    }

    private PlacementOrder.Outcome planStep(Step step, boolean overdue, Plan plan, long nowNanos)
    {
        if (waitsForQuota(step, plan))
        {
            return new PlacementOrder.Outcome(false, false, false);
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
        if (hasStarted)
        {
            step.job().onStartPlanned();
        }
        if (!step.hasWaiting() || waitsForQuota(step, plan))
        {
            return new PlacementOrder.Outcome(hasStarted, false, false);
        }
        boolean hasRoom = hasCapacityOnAny(step, candidates);
        boolean gangLacksRoom = step.spec().gang() && step.isIdle() && usable.size() == candidates.size();
        if (!isStepHeld && preemption.canPreempt(step))
        {
            preemptFor(step, plan, nowNanos);
        }
        if (overdue && !hasStarted && (!hasRoom || gangLacksRoom))
        {
            overdueRoom.reserve(step, allowedWorkers(step, nowNanos), nowNanos);
        }
        if (needsTickets && shouldRequestAdvice(step, hasRoom))
        {
            plan.needAdvice().add(step);
        }
        return new PlacementOrder.Outcome(hasStarted, true, !hasRoom || gangLacksRoom);
    }

    /** Returns whether the customer's quota allows further starts of a step in the latest round. */
    boolean allowsQuota(Step step)
    {
        return quotaUsage.allows(step, step.tasksToStartTogether());
    }

    /** Returns the compute resources that the customer of a step used in the latest round. */
    ComputeResources quotaUsage(Step step)
    {
        return quotaUsage.usageOf(QuotaUsage.customerOf(step.job()));
    }

    /** Returns the shares and waiting tasks of the customers as of the latest round. */
    CustomerSnapshot customers()
    {
        if (!cellState.config().customers().keysRequired())
        {
            return CustomerSnapshot.EMPTY;
        }
        Map<String, Integer> waiting = new HashMap<>();
        quotaUsage.customers().forEach(customer -> waiting.put(customer, 0));
        cellState.waitingSteps().forEach(
                step -> waiting.merge(QuotaUsage.customerOf(step.job()), step.countWaiting(), Integer::sum));
        return new CustomerSnapshot(
                waiting.entrySet().stream().map(entry -> new CustomerSnapshot.Entry(entry.getKey(),
                        placementOrder.shareOf(entry.getKey()), entry.getValue())).toList());
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
            String customer = QuotaUsage.customerOf(step.job());
            plan.atQuota().put(customer, "running: " + quotaUsage(step));
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

    private List<TrackedWorker> allowedWorkers(Step step, long nowNanos)
    {
        return eligibleWorkers(step, nowNanos).stream().filter(worker -> tickets.isAllowed(step, worker))
                .toList();
    }

    /**
     * Returns whether to request advice for a step. Advice is requested if a task could start now;
     * otherwise it is prefetched so that preemption selects allowed workers and freed capacity is used
     * at once. Nothing is prefetched for jobs that are too late, since the calls delay those of others.
     */
    private boolean shouldRequestAdvice(Step step, boolean hasRoom)
    {
        return hasRoom && adviceBudget.acquireForFreeCapacity(step)
                || step.job().latestOutlook() != Outlook.TOO_LATE && !tickets.isFresh(step)
                        && adviceBudget.acquireForPrefetch(step);
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
            start(task, task.nextRun(), best, task.checkpoint(), plan, nowNanos);
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

    /**
     * Starts a copy of a task if a suitable worker other than that of the task has free capacity, and
     * the customer's quota allows it. Must be called right after a planning round. A worker in another
     * rack is preferred, since the workers of a rack can become slow together; but if the task runs in
     * its preferred rack, the copy does too, or it would take longer.
     *
     * @param task a task on a worker
     * @param isFastEnough whether a worker is fast enough
     * @param plan the plan to which the start is added
     * @param nowNanos the monotonic time, in nanoseconds
     * @return the copy, or empty if none was started
     */
    Optional<Task> startCopy(Task task, Predicate<TrackedWorker> isFastEnough, Plan plan, long nowNanos)
    {
        Step step = task.step();
        if (!allowsQuota(step))
        {
            return Optional.empty();
        }
        boolean needsTickets = step.job().queue().adviceIfNeeded().isPresent();
        TrackedWorker current = task.worker();
        boolean isOffRack = current.entry() != null && step.lacksAffinity(current.entry());
        List<TrackedWorker> usable = workersWithCapacity(step, nowNanos).stream()
                .filter(worker -> worker != current && !worker.health().isAvoided(nowNanos))
                .filter(worker -> isOffRack || !step.lacksAffinity(worker.entry()))
                .filter(worker -> !needsTickets || tickets.ticket(step, worker).isPresent())
                .filter(isFastEnough).toList();
        List<TrackedWorker> otherRacks = usable.stream()
                .filter(worker -> !worker.entry().rack().equals(rackOf(current))).toList();
        TrackedWorker best = bestWorker(task, otherRacks.isEmpty() ? usable : otherRacks, Map.of(), nowNanos);
        if (best == null)
        {
            return Optional.empty();
        }
        int run = task.nextRun();
        Task copy = task.addCopy();
        start(copy, run, best, task.checkpoint(), plan, nowNanos);
        return Optional.of(copy);
    }

    private static String rackOf(TrackedWorker worker)
    {
        return worker.entry() == null ? "" : worker.entry().rack();
    }

    /** Returns the workers on which tasks could start in the latest round. */
    List<TrackedWorker> acceptingWorkers()
    {
        return acceptingWorkers;
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
