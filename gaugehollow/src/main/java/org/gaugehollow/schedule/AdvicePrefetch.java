/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.gaugehollow.job.AdviceSpec;
import org.gaugehollow.urgency.PrefetchWindow;

/**
 * Chooses steps that begin soon, so that their advice is requested before they can start. Jobs that
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
            if (job.queue().adviceIfNeeded().isPresent() && job.outlook(wallMillis).mayBeInTime())
            {
                job.nextSteps().stream().filter(step -> isDue(step, nowNanos)).forEach(due::add);
            }
        }
        due.sort(BY_PRIORITY_AND_AGE);
        return due.stream().limit(MAX_STEPS).filter(budget::acquireForPrefetch).toList();
    }

    private boolean isDue(Step step, long nowNanos)
    {
        AdviceSpec advice = step.job().queue().adviceIfNeeded().orElseThrow();
        return !tickets.isFresh(step) && tickets.unanswered(step).isEmpty()
                && PrefetchWindow.isDue(step.job().millisUntilReady(step, nowNanos),
                        advice.expectedMillis(AdviceSpec.TYPICAL_WORKERS), advice.validMillis());
    }
}
