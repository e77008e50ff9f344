/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.ComputeResources;

/**
 * Reserves capacity for a step whose customer has waited too long and whose tasks fit on no worker.
 * Smaller tasks would otherwise keep taking each piece of capacity that becomes free. Guarded by
 * the lock of the cell state.
 */
final class OverdueRoom
{
    /** Lifetime of a reservation; a step that is still overdue then gets another one. */
    private static final long RESERVATION_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long NEVER = Long.MAX_VALUE;

    private final CapacityReservations reservations;

    OverdueRoom(CapacityReservations reservations)
    {
        this.reservations = reservations;
    }

    /**
     * Reserves capacity for the tasks of a step that have to start together, on the workers where
     * enough becomes free first.
     *
     * @param step the step
     * @param allowed the workers that may run it
     * @param nowNanos the monotonic time, in nanoseconds
     */
    void reserve(Step step, Collection<TrackedWorker> allowed, long nowNanos)
    {
        for (int i = reservations.countOf(step); i < step.tasksToStartTogether(); i++)
        {
            TrackedWorker earliest = null;
            long earliestMillis = NEVER;
            for (TrackedWorker worker : allowed)
            {
                long millis = millisUntilFree(step, worker, nowNanos);
                if (millis < earliestMillis)
                {
                    earliest = worker;
                    earliestMillis = millis;
                }
            }
            if (earliest == null)
            {
                return;
            }
            reservations.add(step, earliest, nowNanos + RESERVATION_NANOS);
        }
    }

    /**
     * Returns the estimated time until the runs of a worker leave enough capacity for one more task of
     * a step, or {@link #NEVER} if its long-running tasks and reservations leave too little.
     */
    private long millisUntilFree(Step step, TrackedWorker worker, long nowNanos)
    {
        int tasks = reservations.countOf(step, worker) + 1;
        ComputeResources required = step.needs().times(tasks)
                .plus(reservations.reservedAgainst(step, worker));
        ComputeResources free = worker.free();
        if (!step.canAddTo(worker, tasks))
        {
            return NEVER;
        }
        List<Task> bySoonestEnd = worker.tasks().stream().filter(task -> !task.step().spec().longRunning())
                .sorted(Comparator.comparingLong(task -> task.remainingMillis(nowNanos))).toList();
        long millis = 0;
        for (Task task : bySoonestEnd)
        {
            if (free.fits(required))
            {
                return millis;
            }
            free = free.plus(task.step().needs());
            millis = task.remainingMillis(nowNanos);
        }
        return free.fits(required) ? millis : NEVER;
    }
}
