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

import org.gaugehollow.model.Amounts;

/**
 * Makes room for tasks that fit nowhere: runs of less urgent queues are stopped if little of their
 * work is lost and their jobs can spare the time, and the room is kept until the task that waits
 * for it can start. Large tasks would otherwise wait for as long as small ones keep taking what
 * comes free.
 */
final class Preemption
{
    /** How long room is kept: a stop (up to 0.4 s on the workers seen), its note and newer advice. */
    private static final long KEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** A run that ends within this time is waited for: a stop would not free its room sooner. */
    private static final long SOON_MILLIS = 300;
    /** What a stopped run costs its job: the stop, another start and the restoring of its state. */
    private static final long STOP_COST_MILLIS = 2_000;
    /** What a run that saves its progress loses by a stop: the restoring of its state. */
    private static final long RESTORE_MILLIS = 600;
    /** How much work may be lost for a task, as a part of what the task itself needs. */
    private static final double MOST_LOSS = 0.5;

    /** Room for one task on a worker, and the runs that are to be stopped for it. */
    private record Place(WorkerSlot slot, List<Task> victims, double lostMillis)
    {
    }

    private final RoomReservations reservations;

    Preemption(RoomReservations reservations)
    {
        this.reservations = reservations;
    }

    /**
     * Makes room for the waiting tasks of a step, for all of a gang or for as many as possible.
     *
     * @param step the step
     * @param allowed the workers that may run it
     * @param nowNanos the monotonic clock
     * @param wallMillis the time of day, in milliseconds since 1970
     * @return the runs that are to be stopped
     */
    Effects makeRoom(Step step, Collection<WorkerSlot> allowed, long nowNanos, long wallMillis)
    {
        Effects effects = new Effects();
        int missing = step.waiting().size() - reservations.countOf(step);
        List<Place> places = new ArrayList<>();
        Set<Task> leaving = new HashSet<>();
        for (int i = 0; i < missing; i++)
        {
            Place place = cheapest(step, allowed, places, leaving, nowNanos, wallMillis);
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

    private Place cheapest(Step step, Collection<WorkerSlot> allowed, List<Place> chosen, Set<Task> leaving,
            long nowNanos, long wallMillis)
    {
        Place best = null;
        for (WorkerSlot slot : allowed)
        {
            int already = reservations.countOf(step, slot)
                    + (int) chosen.stream().filter(place -> place.slot() == slot).count();
            Place place = isApart(step, slot, already + 1)
                    ? place(step, slot, already + 1, leaving, nowNanos, wallMillis)
                    : null;
            if (place != null && (best == null || place.lostMillis() < best.lostMillis()))
            {
                best = place;
            }
        }
        return best;
    }

    private static boolean isApart(Step step, WorkerSlot slot, int tasks)
    {
        int most = step.spec().antiAffinity();
        return most == 0 || step.countOn(slot) + tasks <= most;
    }

    /** The runs to stop on a worker so that it has room for some tasks; null if it cannot have it. */
    private Place place(Step step, WorkerSlot slot, int tasks, Set<Task> leaving, long nowNanos,
            long wallMillis)
    {
        Amounts wanted = step.spec().needs().times(tasks).plus(reservations.keptFrom(step, slot));
        Amounts room = slot.free();
        List<Task> candidates = new ArrayList<>();
        for (Task task : slot.tasks())
        {
            if (leaving.contains(task) || endsSoon(task, nowNanos))
            {
                room = room.plus(task.step().spec().needs());
            }
            else if (mayStop(task, step, wallMillis))
            {
                candidates.add(task);
            }
        }
        candidates.sort(Comparator.comparingLong((Task task) -> lostMillis(task, nowNanos)));
        List<Task> victims = new ArrayList<>();
        double lost = 0;
        for (Task candidate : candidates)
        {
            if (!room.fits(wanted))
            {
                room = room.plus(candidate.step().spec().needs());
                victims.add(candidate);
                lost += share(candidate.step(), slot) * lostMillis(candidate, nowNanos);
            }
        }
        double most = MOST_LOSS * share(step, slot) * step.spec().estimateMillis();
        return room.fits(wanted) && lost <= most ? new Place(slot, victims, lost) : null;
    }

    private static long lostMillis(Task task, long nowNanos)
    {
        long ran = TimeUnit.NANOSECONDS.toMillis(nowNanos - task.startedNanos());
        return task.step().spec().checkpointing() ? Math.min(ran, RESTORE_MILLIS) : ran;
    }

    /** The part of a worker that a task of a step takes. */
    private static double share(Step step, WorkerSlot slot)
    {
        Amounts needs = step.spec().needs();
        Amounts capacity = slot.entry().capacity();
        return Math.max(part(needs.cpuMillis(), capacity.cpuMillis()),
                part(needs.accelerators(), capacity.accelerators()));
    }

    private static double part(int amount, int whole)
    {
        return whole == 0 ? 0 : (double) amount / whole;
    }

    private static boolean endsSoon(Task task, long nowNanos)
    {
        return task.phase() == Task.Phase.STOPPING
                || task.phase() == Task.Phase.RUNNING && task.millisToEnd(nowNanos) <= SOON_MILLIS;
    }

    private static boolean mayStop(Task task, Step urgent, long wallMillis)
    {
        Step step = task.step();
        boolean lessUrgent = step.job().queue().priority() > urgent.job().queue().priority();
        boolean single = !step.spec().longRunning() && !step.spec().gang();
        return task.phase() == Task.Phase.RUNNING && lessUrgent && single
                && step.job().spareMillis(wallMillis) >= STOP_COST_MILLIS;
    }
}
