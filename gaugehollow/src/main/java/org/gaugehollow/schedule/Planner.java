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
import org.gaugehollow.worker.WorkerEntry;

/**
 * Decides which waiting tasks start where. Jobs have their turns by {@link JobOrder}; each task
 * takes the worker with the best score among those that may run it and have room.
 */
final class Planner
{
    /**
     * A start that was decided.
     *
     * @param task the task
     * @param run the run to start
     * @param slot the worker
     * @param checkpoint the saved state to go on from, or null
     * @param ticket the advice service's ticket, or null
     */
    record Start(Task task, int run, TrackedWorker slot, String checkpoint, String ticket)
    {
    }

    /**
     * What one round of decisions brought.
     *
     * @param starts the starts that were decided; their tasks are marked as ordered
     * @param needAdvice steps that cannot start without newer advice
     * @param madeRoom the runs that have to make room for more urgent steps
     * @param atQuota the customers of which work waits for their quota, and what they have running
     */
    record Plan(List<Start> starts, List<Step> needAdvice, List<PreemptionDecision> preemptions,
            Map<String, ComputeResources> atQuota)
    {
    }

    /**
     * Runs that are stopped for a step.
     *
     * @param step the step that needs their room
     * @param effects the stops
     */
    record PreemptionDecision(Step step, Effects effects)
    {
    }

    /** Finds the ticket for a step on a worker. */
    interface Tickets
    {
        /** The valid ticket, if starts of the step need one and there is one. */
        Optional<String> ticket(Step step, TrackedWorker slot);

        /** Whether the step is known not to be allowed on the worker. */
        boolean isDenied(Step step, TrackedWorker slot);

        /** Whether the step is known to be allowed on the worker, be there a valid ticket or not. */
        boolean isAllowed(Step step, TrackedWorker slot);

        /** Whether the step's tickets last for longer than it takes to get newer ones. */
        boolean isFresh(Step step);
    }

    private final CellState ledger;
    private final Tickets tickets;
    private final WorkerRating rating;
    private final CapacityReservations reservations = new CapacityReservations();
    private final Preemption preemption = new Preemption(reservations);
    private AdviceBudget advice = AdviceBudget.NONE;
    private QuotaUse quotas;
    private List<TrackedWorker> accepting = List.of();
    private ComputeResources mostFree = ComputeResources.NONE;
    /** Workers on which nothing begins, because a suspect is on trial there. */
    private Set<TrackedWorker> trials = Set.of();

    Planner(CellState ledger, Tickets tickets, WorkerScore score)
    {
        this.ledger = ledger;
        this.tickets = tickets;
        this.rating = new WorkerRating(score);
    }

    /** Decides as many starts as there is room for. */
    Plan plan(long nowNanos, long wallMillis)
    {
        Plan plan = new Plan(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        trials = ledger.crashGuard().isolationWorkers();
        accepting = ledger.workers().stream().filter(slot -> slot.acceptsStarts() && !trials.contains(slot))
                .toList();
        quotas = QuotaUse.of(ledger.config().customers(), ledger.workers());
        mostFree = accepting.stream().map(TrackedWorker::free).reduce(ComputeResources.NONE,
                ComputeResources::max);
        advice = AdviceBudget.of(accepting);
        reservations.removeExpired(nowNanos);
        preemption.begin(ledger, nowNanos, wallMillis);
        for (Job job : ledger.waitingByUrgency(wallMillis))
        {
            for (Step step : job.waitingSteps())
            {
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
        List<TrackedWorker> roomy = withRoom(step, nowNanos);
        boolean advised = step.job().queue().adviceIfNeeded().isPresent();
        List<TrackedWorker> usable = advised
                ? roomy.stream().filter(slot -> tickets.ticket(step, slot).isPresent()).toList()
                : roomy;
        int before = plan.starts().size();
        if (step.spec().gang())
        {
            placeGang(step, usable, plan, nowNanos);
        }
        else
        {
            placeEach(step, usable, plan, nowNanos);
        }
        boolean begun = plan.starts().size() > before;
        if (begun && step.job().state() == JobState.QUEUED)
        {
            step.job().setState(JobState.RUNNING);
        }
        if (!step.hasWaiting() || waitsForQuota(step, plan))
        {
            return;
        }
        if (preemption.mayPreempt(step))
        {
            makeRoom(step, plan, nowNanos);
        }
        if (advised && shouldAsk(step, roomy))
        {
            plan.needAdvice().add(step);
        }
    }

    private boolean waitsForQuota(Step step, Plan plan)
    {
        boolean waits = !quotas.allows(step, step.tasksToStartTogether());
        if (waits)
        {
            String customer = step.job().record().customer();
            plan.atQuota().put(customer, quotas.of(customer));
        }
        return waits;
    }

    private void makeRoom(Step step, Plan plan, long nowNanos)
    {
        List<TrackedWorker> allowed = possible(step, nowNanos).stream()
                .filter(slot -> tickets.isAllowed(step, slot)).toList();
        Effects effects = preemption.preempt(step, allowed);
        if (!effects.stops().isEmpty())
        {
            plan.preemptions().add(new PreemptionDecision(step, effects));
        }
    }

    /**
     * Advice is asked for where a task could start now. Where none could, tickets are kept fresh, so
     * that room can be made on the right workers and is not left idle for the time of a call once it is
     * there.
     */
    private boolean shouldAsk(Step step, List<TrackedWorker> roomy)
    {
        return hasRoomSomewhere(step, roomy) && advice.acquireForFreeCapacity(step)
                || !tickets.isFresh(step) && advice.acquireForPrefetch(step);
    }

    /**
     * The workers that may run the step and have room for one of its tasks; avoided ones only if all
     * that may run it are. Room is looked at first, since few workers of a busy cell have any, and none
     * where not even the largest room suffices: a plan for 260 steps that wait beside 260 workers took
     * 19 to 60 ms before and takes 11 to 28 ms (first-tier code, machine under load).
     */
    private List<TrackedWorker> withRoom(Step step, long nowNanos)
    {
        if (!mostFree.fits(step.needs()))
        {
            return List.of();
        }
        List<TrackedWorker> fit = new ArrayList<>();
        List<TrackedWorker> avoided = new ArrayList<>();
        for (TrackedWorker slot : accepting)
        {
            if (slot.free().fits(step.needs()) && mayRun(step, slot) && hasRoom(step, slot, 1))
            {
                (slot.health().isAvoided(nowNanos) ? avoided : fit).add(slot);
            }
        }
        boolean onlyAvoided = fit.isEmpty() && !avoided.isEmpty();
        return onlyAvoided && areAllAvoided(step, nowNanos) ? avoided : fit;
    }

    private boolean areAllAvoided(Step step, long nowNanos)
    {
        return possible(step, nowNanos).stream().allMatch(slot -> slot.health().isAvoided(nowNanos));
    }

    /** The workers that may run the step whatever room they have now; avoided ones only if all are. */
    private List<TrackedWorker> possible(Step step, long nowNanos)
    {
        List<TrackedWorker> fit = new ArrayList<>();
        List<TrackedWorker> avoided = new ArrayList<>();
        for (TrackedWorker slot : accepting)
        {
            if (mayRun(step, slot))
            {
                (slot.health().isAvoided(nowNanos) ? avoided : fit).add(slot);
            }
        }
        return fit.isEmpty() ? avoided : fit;
    }

    private boolean mayRun(Step step, TrackedWorker slot)
    {
        WorkerEntry entry = slot.entry();
        boolean service = entry.service().equals(step.job().queue().service());
        return service && step.hasLabel(entry) && !tickets.isDenied(step, slot);
    }

    private boolean hasRoomSomewhere(Step step, List<TrackedWorker> slots)
    {
        return slots.stream().anyMatch(slot -> hasRoom(step, slot, 1));
    }

    private boolean hasRoom(Step step, TrackedWorker slot, int tasks)
    {
        ComputeResources needs = step.needs().times(tasks);
        return step.mayAddTo(slot, tasks)
                && slot.free().fits(needs.plus(reservations.reservedAgainst(step, slot)));
    }

    private void placeEach(Step step, List<TrackedWorker> usable, Plan plan, long nowNanos)
    {
        for (Task task : step.waiting())
        {
            TrackedWorker best = quotas.allows(step, 1) ? best(task, usable, Map.of(), nowNanos) : null;
            if (best == null)
            {
                return;
            }
            start(task, task.run() + 1, best, task.checkpoint(), plan, nowNanos);
        }
    }

    /** A gang starts whole or not at all, and only after nothing of its run before is left. */
    private void placeGang(Step step, List<TrackedWorker> usable, Plan plan, long nowNanos)
    {
        if (!step.isIdle())
        {
            return;
        }
        Map<TrackedWorker, Integer> chosen = new HashMap<>();
        List<TrackedWorker> places = new ArrayList<>();
        for (Task task : step.tasks())
        {
            TrackedWorker best = best(task, usable, chosen, nowNanos);
            if (best == null)
            {
                return;
            }
            chosen.merge(best, 1, Integer::sum);
            places.add(best);
        }
        int run = step.nextGangRun();
        String checkpoint = step.gangCheckpoint();
        for (int i = 0; i < places.size(); i++)
        {
            start(step.tasks().get(i), run, places.get(i), checkpoint, plan, nowNanos);
        }
    }

    private void start(Task task, int run, TrackedWorker slot, String checkpoint, Plan plan, long nowNanos)
    {
        task.order(slot, run, nowNanos);
        quotas.add(task.step());
        if (task.isSuspect())
        {
            trials.add(slot);
        }
        reservations.use(task.step(), slot);
        String ticket = tickets.ticket(task.step(), slot).orElse(null);
        plan.starts().add(new Start(task, run, slot, checkpoint, ticket));
    }

    private TrackedWorker best(Task task, List<TrackedWorker> usable, Map<TrackedWorker, Integer> chosen,
            long nowNanos)
    {
        TrackedWorker best = null;
        double bestRating = Double.MAX_VALUE;
        for (TrackedWorker slot : usable)
        {
            int already = chosen.getOrDefault(slot, 0);
            if (!trials.contains(slot) && hasRoom(task.step(), slot, already + 1))
            {
                double value = rating.rating(task, slot, already, nowNanos);
                if (value < bestRating)
                {
                    best = slot;
                    bestRating = value;
                }
            }
        }
        return best;
    }
}
