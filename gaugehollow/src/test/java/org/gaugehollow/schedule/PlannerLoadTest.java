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

/** Guards against planning cost that grows with the number of waiting steps in a full cell. */
class PlannerLoadTest
{
    private static final int WORKERS = 60;
    private static final int WORKER_CPU = 16_000;
    private static final int TASK_CPU = 4_500;
    private static final int TASKS_PER_WORKER = WORKER_CPU / TASK_CPU;
    private static final int JOBS = 60;
    private static final int TASKS = 9;
    private static final QueueSpec PATIENT = new QueueSpec("patient", "service", 2, 2, 1_200, 2.2, null);

    private final CellState cellState = new CellState(SteadyClock::nanos, TimeUnit.SECONDS.toNanos(15));
    private final CountingTickets tickets = new CountingTickets();
    private final Planner planner = new Planner(cellState, tickets, new WaitingFirstScore(0.5));

    /** Counts the comparisons of a step with a worker. */
    private static final class CountingTickets implements Tickets
    {
        private int comparisons;

        @Override
        public Optional<String> ticket(Step step, TrackedWorker worker)
        {
            return Optional.empty();
        }

        @Override
        public boolean isDenied(Step step, TrackedWorker worker)
        {
            comparisons++;
            return false;
        }

        @Override
        public boolean isAllowed(Step step, TrackedWorker worker)
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

    /** Matching 40 waiting steps against 60 full workers would take 2,400 comparisons. */
    @Test
    void waitingStepsAreNotMatchedAgainstFullWorkers()
    {
        for (int i = 0; i < WORKERS; i++)
        {
            cellState.updateWorker(TestJobs.worker("w" + i, WORKER_CPU)).recordHeartbeat(SteadyClock.nanos());
        }
        for (int i = 0; i < JOBS; i++)
        {
            JobSpec spec = new JobSpec("text", List.of(TestJobs.step(TASKS, TASK_CPU, List.of())), 0, 0, 0);
            cellState.accept(new JobRecord(String.format("%016x", i), PATIENT, spec, 0), i, null, 0);
        }
        assertThat(plan()).isEqualTo(WORKERS * TASKS_PER_WORKER);
        tickets.comparisons = 0;
        assertThat(plan()).isEqualTo(0);
        assertThat(tickets.comparisons).isEqualTo(0);
    }
}
