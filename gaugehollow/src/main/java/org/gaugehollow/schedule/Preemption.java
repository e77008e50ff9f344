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
 * Makes room for tasks that fit nowhere: runs of less urgent queues are stopped if little of their
 * work is lost and their jobs can spare the time, and the room is kept until the task that waits
 * for it can start. Large tasks would otherwise wait for as long as small ones keep taking what
 * comes free: tasks of 2 to 8 accelerators waited 45 s (nine tenths, from acceptance to first start
 * by the log, 9 workers of 8 accelerators), with it 17 s.
 */
final class Preemption
{
    /** How long room is kept: a stop (up to 0.4 s on the workers seen), its note and newer advice. */
    private static final long KEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** A run that ends within this time is waited for: a stop would not free its room sooner. */
    private static final long SOON_MILLIS = 300;
    /** What a stopped run costs its job: the stop, another start and the restoring of its state. */
    private static final long STOP_COST_MILLIS = 2_000;
    /** How much of the time that a job could spare at first must be left for its runs to be stopped. */
    private static final double LEAST_SPARE = 0.5;
    /** What a run that saves its progress loses by a stop: the restoring of its state. */
    private static final long RESTORE_MILLIS = 600;
    /** How much work may be lost for a task, as a part of what the task itself needs. */
    private static final double MOST_LOSS = 0.5;

    /** Looking for runs to stop is dear: it is done this often, and for so many steps. */
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int MOST_STEPS = 16;

    /** Room for one task on a worker, and the runs that are to be stopped for it. */
    private record Place(TrackedWorker slot, List<Task> victims, double lostMillis)
    {
    }

    private final CapacityReservations reservations;
    private long nowNanos;
    private long wallMillis;
    private long dueNanos;
    private boolean hasBegun;
    private int stepsLeft;
    private int leastUrgent;

    Preemption(CapacityReservations reservations)
    {
        this.reservations = reservations;
    }

    /**
     * Begins a round of decisions.
     *
     * @param ledger what is at work
     * @param newNanos the monotonic clock
     * @param newMillis the time of day, in milliseconds since 1970
     */
    void begin(CellState ledger, long newNanos, long newMillis)
    {
        nowNanos = newNanos;
        wallMillis = newMillis;
        stepsLeft = 0;
        if (!hasBegun || newNanos - dueNanos >= 0)
        {
            hasBegun = true;
            dueNanos = newNanos + PERIOD_NANOS;
            stepsLeft = MOST_STEPS;
            leastUrgent = ledger.leastUrgentRunning();
        }
    }

    /**
     * Whether this round still looks for runs to stop, and may find some for the step. Nothing is done
     * where nothing less urgent is at work, or where the job is late in any case.
     */
    boolean mayPreempt(Step step)
    {
        boolean mayStart = !step.spec().gang() || step.isIdle();
        boolean isLeastUrgent = step.job().queue().priority() >= leastUrgent;
        return stepsLeft > 0 && !isLeastUrgent && mayStart && !step.job().isOverdue(wallMillis);
    }

    /**
     * Makes room for the waiting tasks of a step that {@link #mayPreempt} lets pass, for all of a gang
     * or for as many as possible.
     *
     * @param step the step
     * @param allowed the workers that may run it
     * @return the runs that are to be stopped
     */
    Effects preempt(Step step, Collection<TrackedWorker> allowed)
    {
        Effects effects = new Effects();
        if (!mayPreempt(step))
        {
            return effects;
        }
        stepsLeft--;
        int missing = step.waiting().size() - reservations.countOf(step);
        List<Place> places = new ArrayList<>();
        Set<Task> leaving = new HashSet<>();
        for (int i = 0; i < missing; i++)
        {
            Place place = cheapest(step, allowed, places, leaving);
            if (place == null)
            {
                break;
            }
            places.add(place);
            leaving.addAll(place.victims());
        }
        if (step.spec().gang() && places.size() < missing)
        {
            return effects;
        }
        for (Place place : places)
        {
            reservations.add(step, place.slot(), nowNanos + KEEP_NANOS);
            place.victims().forEach(effects::stop);
        }
        return effects;
    }

    private Place cheapest(Step step, Collection<TrackedWorker> allowed, List<Place> chosen,
            Set<Task> leaving)
    {
        Place best = null;
        for (TrackedWorker slot : allowed)
        {
            int already = reservations.countOf(step, slot)
                    + (int) chosen.stream().filter(place -> place.slot() == slot).count();
            Place place = step.mayAddTo(slot, already + 1) ? place(step, slot, already + 1, leaving) : null;
            if (place != null && (best == null || place.lostMillis() < best.lostMillis()))
            {
                best = place;
            }
        }
        return best;
    }

    /** The runs to stop on a worker so that it has room for some tasks; null if it cannot have it. */
    private Place place(Step step, TrackedWorker slot, int tasks, Set<Task> leaving)
    {
        ComputeResources wanted = step.needs().times(tasks).plus(reservations.reservedAgainst(step, slot));
        ComputeResources room = slot.free();
        List<Task> candidates = new ArrayList<>();
        for (Task task : slot.tasks())
        {
            if (leaving.contains(task) || endsSoon(task))
            {
                room = room.plus(task.step().needs());
            }
            else if (mayStop(task, step))
            {
                candidates.add(task);
            }
        }
        candidates.sort(Comparator.comparingLong(this::lostMillis));
        List<Task> victims = new ArrayList<>();
        double lost = 0;
        for (Task candidate : candidates)
        {
            if (!room.fits(wanted))
            {
                room = room.plus(candidate.step().needs());
                victims.add(candidate);
                lost += share(candidate.step(), slot) * lostMillis(candidate);
            }
        }
        double most = MOST_LOSS * share(step, slot) * step.spec().estimateMillis();
        return room.fits(wanted) && lost <= most ? new Place(slot, victims, lost) : null;
    }

    private long lostMillis(Task task)
    {
        long ran = TimeUnit.NANOSECONDS.toMillis(nowNanos - task.startedNanos());
        return task.step().spec().checkpointing() ? Math.min(ran, RESTORE_MILLIS) : ran;
    }

    /** The part of a worker that a task of a step takes. */
    private static double share(Step step, TrackedWorker slot)
    {
        ComputeResources needs = step.needs();
        ComputeResources capacity = slot.entry().capacity();
        return Math.max(part(needs.cpuMillis(), capacity.cpuMillis()),
                part(needs.accelerators(), capacity.accelerators()));
    }

    private static double part(int amount, int whole)
    {
        return whole == 0 ? 0 : (double) amount / whole;
    }

    private boolean endsSoon(Task task)
    {
        return task.phase() == Task.Phase.STOPPING
                || task.phase() == Task.Phase.RUNNING && task.millisToEnd(nowNanos) <= SOON_MILLIS;
    }

    private static long leastSpareMillis(Job job)
    {
        return Math.max(STOP_COST_MILLIS, (long) (LEAST_SPARE * job.wholeSpareMillis()));
    }

    private boolean mayStop(Task task, Step urgent)
    {
        Step step = task.step();
        boolean lessUrgent = step.job().queue().priority() > urgent.job().queue().priority();
        boolean single = !step.spec().longRunning() && !step.spec().gang();
        return task.phase() == Task.Phase.RUNNING && lessUrgent && single
                && step.job().spareMillis(wallMillis) >= leastSpareMillis(step.job());
    }
}
