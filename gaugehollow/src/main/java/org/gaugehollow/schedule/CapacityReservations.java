/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.model.ComputeResources;

/**
 * Room on workers that is kept for tasks whose start is near: the runs in their way end soon or
 * were stopped for them. Without it the room that comes free piece by piece would go to smaller
 * tasks. Guarded by the ledger's monitor.
 */
final class CapacityReservations
{
    /** Room for one task of a step. */
    private record Reservation(Step step, TrackedWorker slot, long endNanos)
    {
        /** Whether another step has to leave this room alone; more urgent queues need not. */
        boolean binds(Step other)
        {
            return step != other && step.job().queue().priority() <= other.job().queue().priority();
        }
    }

    private final List<Reservation> reservations = new ArrayList<>();

    /** Keeps room for one more task of a step until then at the latest. */
    void add(Step step, TrackedWorker slot, long endNanos)
    {
        reservations.add(new Reservation(step, slot, endNanos));
    }

    /** Drops what has run out, and what its job or its worker has no use for any more. */
    void removeExpired(long nowNanos)
    {
        reservations.removeIf(reservation -> nowNanos - reservation.endNanos >= 0
                || !reservation.slot.acceptsStarts() || reservation.step.job().state().isFinal());
    }

    /** A task of a step was started on a worker: one of the step's reservations is used up. */
    void use(Step step, TrackedWorker slot)
    {
        if (!dropOne(step, slot))
        {
            dropSurplus(step);
        }
    }

    private boolean dropOne(Step step, TrackedWorker slot)
    {
        for (Reservation reservation : reservations)
        {
            if (reservation.step == step && reservation.slot == slot)
            {
                return reservations.remove(reservation);
            }
        }
        return false;
    }

    private void dropSurplus(Step step)
    {
        int waiting = step.waiting().size();
        for (int i = reservations.size() - 1; i >= 0 && countOf(step) > waiting; i--)
        {
            if (reservations.get(i).step == step)
            {
                reservations.remove(i);
            }
        }
    }

    /** How many tasks of a step have room kept for them. */
    int countOf(Step step)
    {
        return (int) reservations.stream().filter(reservation -> reservation.step == step).count();
    }

    /** How many tasks of a step have room kept for them on a worker. */
    int countOf(Step step, TrackedWorker slot)
    {
        return (int) reservations.stream()
                .filter(reservation -> reservation.step == step && reservation.slot == slot).count();
    }

    /** What a step has to leave alone on a worker. */
    ComputeResources reservedAgainst(Step step, TrackedWorker slot)
    {
        ComputeResources sum = ComputeResources.NONE;
        for (Reservation reservation : reservations)
        {
            if (reservation.slot == slot && reservation.binds(step))
            {
                sum = sum.plus(reservation.step.needs());
            }
        }
        return sum;
    }
}
