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
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobState;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.Amounts;
import org.gaugehollow.placement.WorkerScore;
import org.gaugehollow.worker.WorkerEntry;

/**
 * Decides which waiting tasks start where. The most urgent queue goes first, within it the job that
 * was accepted first; each task takes the worker with the best score among those that may run it
 * and have room.
 */
final class Planner
{
    private static final double AFFINITY_WEIGHT = 0.6;
    private static final double DISTURBANCE_WEIGHT = 1.5;
    private static final double FAILURE_WEIGHT = 2;
    private static final double UNPROVEN_WEIGHT = 3;
    private static final double AVOIDED_WEIGHT = 100;
    private static final long PREEMPTION_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int MOST_PREEMPTING_STEPS = 16;

    /**
     * A start that was decided.
     *
     * @param task the task
     * @param run the run to start
     * @param slot the worker
     * @param checkpoint the saved state to go on from, or null
     * @param ticket the advice service's ticket, or null
     */
    record Start(Task task, int run, WorkerSlot slot, String checkpoint, String ticket)
    {
    }

    /**
     * What one round of decisions brought.
     *
     * @param starts the starts that were decided; their tasks are marked as ordered
     * @param needAdvice steps that cannot start without newer advice
     * @param preempted the runs that have to make room for more urgent ones
     */
    record Plan(List<Start> starts, List<Step> needAdvice, Effects preempted)
    {
    }

    /** Finds the ticket for a step on a worker. */
    interface Tickets
    {
        /** The valid ticket, if starts of the step need one and there is one. */
        Optional<String> ticket(Step step, WorkerSlot slot);

        /** Whether the step is known not to be allowed on the worker. */
        boolean isBarred(Step step, WorkerSlot slot);

        /** Whether the step is known to be allowed on the worker, be there a valid ticket or not. */
        boolean isAllowed(Step step, WorkerSlot slot);

        /** Whether the step's tickets last for longer than it takes to get newer ones. */
        boolean isFresh(Step step);
    }

    private final Ledger ledger;
    private final Tickets tickets;
    private final WorkerScore score;
    private final RoomReservations reservations = new RoomReservations();
    private final Preemption preemption = new Preemption(reservations);
    private Amounts askable = Amounts.NONE;
    private Amounts learnable = Amounts.NONE;
    private int preemptionsLeft;
    private int leastUrgent;
    private long preemptedNanos;
    private boolean hasPreempted;

    Planner(Ledger ledger, Tickets tickets, WorkerScore score)
    {
        this.ledger = ledger;
        this.tickets = tickets;
        this.score = score;
    }

    /** Decides as many starts as there is room for. */
    Plan plan(long nowNanos, long wallMillis)
    {
        Plan plan = new Plan(new ArrayList<>(), new ArrayList<>(), new Effects());
        askable = freeInAll();
        learnable = heldInAll();
        reservations.dropOld(nowNanos);
        beginPreemptions(nowNanos);
        for (Job job : ledger.waitingByUrgency(wallMillis))
        {
            for (Step step : job.waitingSteps())
            {
                planStep(step, plan, nowNanos, wallMillis);
            }
        }
        return plan;
    }

    /** Looking for runs to stop is dear, so it is done now and then and for the most urgent steps. */
    private void beginPreemptions(long nowNanos)
    {
        boolean due = !hasPreempted || nowNanos - preemptedNanos >= PREEMPTION_PERIOD_NANOS;
        preemptionsLeft = due ? MOST_PREEMPTING_STEPS : 0;
        if (due)
        {
            hasPreempted = true;
            preemptedNanos = nowNanos;
            leastUrgent = ledger.leastUrgentAtWork();
        }
    }

    private void planStep(Step step, Plan plan, long nowNanos, long wallMillis)
    {
        List<WorkerSlot> possible = possible(step, nowNanos);
        boolean advised = step.job().queue().adviceIfNeeded().isPresent();
        List<WorkerSlot> usable = advised
                ? possible.stream().filter(slot -> tickets.ticket(step, slot).isPresent()).toList()
                : possible;
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
        if (step.hasWaiting())
        {
            preemptFor(step, possible, plan, nowNanos, wallMillis);
        }
        if (advised && step.hasWaiting() && shouldAsk(step, possible))
        {
            plan.needAdvice().add(step);
        }
    }

    private void preemptFor(Step step, List<WorkerSlot> possible, Plan plan, long nowNanos, long wallMillis)
    {
        boolean mayStart = !step.spec().gang() || step.isIdle();
        boolean isLeastUrgent = step.job().queue().priority() >= leastUrgent;
        if (preemptionsLeft == 0 || isLeastUrgent || !mayStart || step.job().isOverdue(wallMillis))
        {
            return;
        }
        preemptionsLeft--;
        List<WorkerSlot> allowed = possible.stream().filter(slot -> tickets.isAllowed(step, slot)).toList();
        plan.preempted().add(preemption.makeRoom(step, allowed, nowNanos, wallMillis));
    }

    /**
     * Advice is asked for where a task could start now. Where none could, tickets are kept fresh, so
     * that room can be made on the right workers and is not left idle for the time of a call once it is
     * there.
     */
    private boolean shouldAsk(Step step, List<WorkerSlot> possible)
    {
        Amounts needs = step.spec().needs();
        Amounts waiting = needs.times(step.waiting().size());
        if (hasRoomSomewhere(step, possible) && askable.fits(needs))
        {
            askable = askable.minusAtMost(waiting);
            return true;
        }
        if (!tickets.isFresh(step) && learnable.fits(needs))
        {
            learnable = learnable.minusAtMost(waiting);
            return true;
        }
        return false;
    }

    /**
     * What all workers together hold; no more tasks than that are prepared for room that is to come.
     */
    private Amounts heldInAll()
    {
        Amounts sum = Amounts.NONE;
        for (WorkerSlot slot : ledger.workers())
        {
            sum = slot.accepts() ? sum.plus(slot.entry().capacity()) : sum;
        }
        return sum;
    }

    /** What all workers together have free; advice is asked for no more tasks than could start now. */
    private Amounts freeInAll()
    {
        Amounts sum = Amounts.NONE;
        for (WorkerSlot slot : ledger.workers())
        {
            sum = slot.accepts() ? sum.plus(slot.free()) : sum;
        }
        return sum;
    }

    /** The workers that may run the step whatever room they have now; avoided ones only if all are. */
    private List<WorkerSlot> possible(Step step, long nowNanos)
    {
        List<WorkerSlot> fit = new ArrayList<>();
        List<WorkerSlot> avoided = new ArrayList<>();
        for (WorkerSlot slot : ledger.workers())
        {
            if (slot.accepts() && mayRun(step, slot))
            {
                (slot.health().isAvoided(nowNanos) ? avoided : fit).add(slot);
            }
        }
        return fit.isEmpty() ? avoided : fit;
    }

    private boolean mayRun(Step step, WorkerSlot slot)
    {
        WorkerEntry entry = slot.entry();
        boolean service = entry.service().equals(step.job().queue().service());
        String label = step.spec().requires();
        boolean labelled = label == null || label.isEmpty() || entry.labels().contains(label);
        return service && labelled && !tickets.isBarred(step, slot);
    }

    private boolean hasRoomSomewhere(Step step, List<WorkerSlot> slots)
    {
        return slots.stream().anyMatch(slot -> hasRoom(step, slot, 1));
    }

    private boolean hasRoom(Step step, WorkerSlot slot, int tasks)
    {
        int most = step.spec().antiAffinity();
        boolean apart = most == 0 || step.countOn(slot) + tasks <= most;
        Amounts needs = step.spec().needs().times(tasks);
        return apart && slot.free().fits(needs.plus(reservations.keptFrom(step, slot)));
    }

    private void placeEach(Step step, List<WorkerSlot> usable, Plan plan, long nowNanos)
    {
        for (Task task : step.waiting())
        {
            WorkerSlot best = best(task, usable, Map.of(), nowNanos);
            if (best == null)
            {
                return;
            }
            start(task, task.run() + 1, best, task.checkpoint(), plan, nowNanos);
        }
    }

    /** A gang starts whole or not at all, and only after nothing of its run before is left. */
    private void placeGang(Step step, List<WorkerSlot> usable, Plan plan, long nowNanos)
    {
        if (!step.isIdle())
        {
            return;
        }
        Map<WorkerSlot, Integer> chosen = new HashMap<>();
        List<WorkerSlot> places = new ArrayList<>();
        for (Task task : step.tasks())
        {
            WorkerSlot best = best(task, usable, chosen, nowNanos);
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

    private void start(Task task, int run, WorkerSlot slot, String checkpoint, Plan plan, long nowNanos)
    {
        task.order(slot, run, nowNanos);
        reservations.use(task.step(), slot);
        String ticket = tickets.ticket(task.step(), slot).orElse(null);
        plan.starts().add(new Start(task, run, slot, checkpoint, ticket));
    }

    private WorkerSlot best(Task task, List<WorkerSlot> usable, Map<WorkerSlot, Integer> chosen,
            long nowNanos)
    {
        WorkerSlot best = null;
        double bestRating = Double.MAX_VALUE;
        for (WorkerSlot slot : usable)
        {
            int already = chosen.getOrDefault(slot, 0);
            if (hasRoom(task.step(), slot, already + 1))
            {
                double rating = rating(task, slot, already, nowNanos);
                if (rating < bestRating)
                {
                    best = slot;
                    bestRating = rating;
                }
            }
        }
        return best;
    }

    private double rating(Task task, WorkerSlot slot, int already, long nowNanos)
    {
        StepSpec spec = task.step().spec();
        Amounts needs = spec.needs();
        double rating = score.score(slot.entry().capacity(), slot.free().minus(needs.times(already)), needs);
        rating += slot.health().isAvoided(nowNanos) ? AVOIDED_WEIGHT : 0;
        rating += slot.health().hasFailures() ? FAILURE_WEIGHT : 0;
        rating += task.failures() > 0 && !slot.health().isProven() ? UNPROVEN_WEIGHT : 0;
        rating += task.hasFailedOn(slot) ? UNPROVEN_WEIGHT : 0;
        boolean far = spec.affinity() != null && !spec.affinity().isEmpty()
                && !slot.entry().labels().contains(spec.affinity());
        rating += far ? AFFINITY_WEIGHT : 0;
        rating += spec.rackLocal() && !sharesRack(task.step(), slot) ? AFFINITY_WEIGHT : 0;
        rating += disturbs(spec, slot) ? DISTURBANCE_WEIGHT : 0;
        return rating;
    }

    private static boolean sharesRack(Step step, WorkerSlot slot)
    {
        return step.tasks().stream().filter(Task::occupies).allMatch(other -> other.worker().entry() != null
                && other.worker().entry().rack().equals(slot.entry().rack()));
    }

    /** Whether tasks that fill and tasks that serve would share the worker. */
    private static boolean disturbs(StepSpec spec, WorkerSlot slot)
    {
        if (!spec.fills() && spec.targetMillis() == 0)
        {
            return false;
        }
        for (Task other : slot.tasks())
        {
            StepSpec otherSpec = other.step().spec();
            if (spec.fills() ? otherSpec.targetMillis() > 0 : otherSpec.fills())
            {
                return true;
            }
        }
        return false;
    }
}
