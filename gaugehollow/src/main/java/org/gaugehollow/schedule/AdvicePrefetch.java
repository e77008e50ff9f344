/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.AdviceSpec;
import org.gaugehollow.urgency.PrefetchWindow;

/**
 * Chooses steps that begin soon, or whose tasks are released soon because the lease of their
 * unresponsive worker expires, so that their advice is requested before they can start. Jobs that
 * can't be in time are left out.
 */
final class AdvicePrefetch
{
    /** Maximum number of steps in one planning round for which advice is requested ahead. */
    private static final int MAX_STEPS = 4;
    private static final Comparator<Step> BY_PRIORITY_AND_AGE = Comparator
            .comparingInt((Step step) -> step.job().queue().priority())
            .thenComparingLong(step -> step.job().acceptedRevision());

    private final CellState cellState;
    private final Tickets tickets;

    AdvicePrefetch(CellState cellState, Tickets tickets)
    {
        this.cellState = cellState;
        this.tickets = tickets;
    }

    /**
     * Returns the steps for which to request advice.
     *
     * @param budget the budget, of which steps that could start now have consumed their share
     * @param nowNanos the monotonic time, in nanoseconds
     * @param wallMillis the wall-clock time, in milliseconds since 1970
     */
    List<Step> choose(AdviceBudget budget, long nowNanos, long wallMillis)
    {
        List<Step> due = new ArrayList<>();
        for (Job job : cellState.activeJobs())
        {
            if (mayPrefetch(job, wallMillis))
            {
                job.nextSteps().stream().filter(step -> isDue(step, job.millisUntilReady(step, nowNanos)))
                        .forEach(due::add);
            }
        }
        due.addAll(stepsReleasedSoon(nowNanos, wallMillis));
        due.sort(BY_PRIORITY_AND_AGE);
        return due.stream().limit(MAX_STEPS)
                .filter(step -> budget.acquireForPrefetch(step, AdviceDemand.countTasks(step, nowNanos)))
                .toList();
    }

    private static boolean mayPrefetch(Job job, long wallMillis)
    {
        return job.queue().adviceIfNeeded().isPresent() && job.outlook(wallMillis).mayBeInTime();
    }

    /**
     * Returns the steps without waiting tasks that have tasks on unresponsive workers whose leases
     * expire soon.
     */
    private Set<Step> stepsReleasedSoon(long nowNanos, long wallMillis)
    {
        Set<Step> steps = new LinkedHashSet<>();
        for (TrackedWorker worker : cellState.workers())
        {
            if (!worker.isResponsive())
            {
                long millisLeft = TimeUnit.NANOSECONDS.toMillis(worker.releaseNanos() - nowNanos);
                worker.tasks().stream().filter(Task::waitsOnceReleased).map(Task::step)
                        .filter(step -> !step.job().state().isFinal() && !step.hasWaiting())
                        .filter(step -> mayPrefetch(step.job(), wallMillis) && isDue(step, millisLeft))
                        .forEach(steps::add);
            }
        }
        return steps;
    }

    private boolean isDue(Step step, long millisLeft)
    {
        AdviceSpec advice = step.job().queue().adviceIfNeeded().orElseThrow();
        return !tickets.isFresh(step) && tickets.unanswered(step).isEmpty() && PrefetchWindow
                .isDue(millisLeft, advice.expectedMillis(AdviceSpec.TYPICAL_WORKERS), advice.validMillis());
    }
}
