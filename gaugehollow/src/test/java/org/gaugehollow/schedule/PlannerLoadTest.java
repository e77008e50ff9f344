/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** A burst of large jobs in a full cell: what each round of decisions has to look at. */
class PlannerLoadTest
{
    private static final int WORKERS = 60;
    private static final int WORKER_CPU = 16_000;
    private static final int TASK_CPU = 4_500;
    private static final int TASKS_A_WORKER = WORKER_CPU / TASK_CPU;
    private static final int JOBS = 60;
    private static final int TASKS = 9;
    private static final QueueSpec PATIENT = new QueueSpec("patient", "service", 2, 2, 1_200, 2.2, null);

    private final CellState ledger = new CellState(SteadyClock::nanos, TimeUnit.SECONDS.toNanos(15));
    private final CountingTickets tickets = new CountingTickets();
    private final Planner planner = new Planner(ledger, tickets, new WaitingFirstScore(0.5));

    /** Counts how often a step and a worker are compared. */
    private static final class CountingTickets implements Planner.Tickets
    {
        private int comparisons;

        @Override
        public Optional<String> ticket(Step step, TrackedWorker slot)
        {
            return Optional.empty();
        }

        @Override
        public boolean isDenied(Step step, TrackedWorker slot)
        {
            comparisons++;
            return false;
        }

        @Override
        public boolean isAllowed(Step step, TrackedWorker slot)
        {
            return true;
        }

        @Override
        public boolean isFresh(Step step)
        {
            return true;
        }
    }

    private int plan()
    {
        return planner.plan(SteadyClock.nanos(), System.currentTimeMillis()).starts().size();
    }

    /** In a cell of 60 workers, 40 steps that wait were compared with 2,400 workers in each round. */
    @Test
    void stepsThatWaitForAFullCellAreComparedWithNoWorker()
    {
        for (int i = 0; i < WORKERS; i++)
        {
            ledger.list(TestJobs.worker("w" + i, WORKER_CPU)).recordHeartbeat(SteadyClock.nanos());
        }
        for (int i = 0; i < JOBS; i++)
        {
            JobSpec spec = new JobSpec("text", List.of(TestJobs.step(TASKS, TASK_CPU, List.of())), 0, 0, 0);
            ledger.accept(new JobRecord(String.format("%016x", i), PATIENT, spec, 0), i, null, 0);
        }
        assertThat(plan()).isEqualTo(WORKERS * TASKS_A_WORKER);
        tickets.comparisons = 0;
        assertThat(plan()).isEqualTo(0);
        assertThat(tickets.comparisons).isEqualTo(0);
    }
}
