/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.model.ComputeResources;

/**
 * Free capacity on workers that is reserved for tasks about to start, because the runs occupying it
 * end soon or were stopped for them. Reservations keep smaller tasks from taking capacity that is
 * freed piece by piece. Guarded by the lock of the cell state.
 */
final class CapacityReservations
{
    /** Reserved capacity for one task of a step. */
    private record Reservation(Step step, TrackedWorker worker, long expiryNanos)
    {
        /**
         * Returns whether another step must respect this reservation; steps of more urgent queues need not.
         */
        boolean appliesTo(Step other)
        {
            return step != other && step.job().queue().priority() <= other.job().queue().priority();
        }
    }

    private final List<Reservation> reservations = new ArrayList<>();

    /** Reserves capacity for one more task of a step until the given time. */
    void add(Step step, TrackedWorker worker, long expiryNanos)
    {
        reservations.add(new Reservation(step, worker, expiryNanos));
    }

    /**
     * Removes reservations that have expired or whose job has ended or whose worker accepts no starts.
     */
    void removeExpired(long nowNanos)
    {
        reservations.removeIf(reservation -> nowNanos - reservation.expiryNanos >= 0
                || !reservation.worker.acceptsStarts() || reservation.step.job().state().isFinal());
    }

    /** Consumes one reservation of a step after one of its tasks was started on a worker. */
    void consume(Step step, TrackedWorker worker)
    {
        if (!removeOne(step, worker))
        {
            removeSurplus(step);
        }
    }

    private boolean removeOne(Step step, TrackedWorker worker)
    {
        for (Reservation reservation : reservations)
        {
            if (reservation.step == step && reservation.worker == worker)
            {
                return reservations.remove(reservation);
            }
        }
        return false;
    }

    private void removeSurplus(Step step)
    {
        int waiting = step.waitingTasks().size();
        for (int i = reservations.size() - 1; i >= 0 && countOf(step) > waiting; i--)
        {
            if (reservations.get(i).step == step)
            {
                reservations.remove(i);
            }
        }
    }

    /** Returns the number of reservations of a step. */
    int countOf(Step step)
    {
        return (int) reservations.stream().filter(reservation -> reservation.step == step).count();
    }

    /** Returns the number of reservations of a step on a worker. */
    int countOf(Step step, TrackedWorker worker)
    {
        return (int) reservations.stream()
                .filter(reservation -> reservation.step == step && reservation.worker == worker).count();
    }

    /** Returns the capacity reserved on a worker that a step must leave free. */
    ComputeResources reservedAgainst(Step step, TrackedWorker worker)
    {
        ComputeResources sum = ComputeResources.NONE;
        for (Reservation reservation : reservations)
        {
            if (reservation.worker == worker && reservation.appliesTo(step))
            {
                sum = sum.plus(reservation.step.needs());
            }
        }
        return sum;
    }
}
