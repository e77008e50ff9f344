/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.AdviceSpec;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against steps that wait for a whole call of the advice service once they could begin. */
class AdvicePrefetchTest
{
    private static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5,
            new AdviceSpec(300, 0, 2_500));

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, TimeUnit.SECONDS.toNanos(13));
    private final Planner planner = new Planner(cellState, new FirstStepTickets(),
            new WaitingFirstScore(0.5));
    private long wallMillis;

    /** Tickets for the first step only. */
    private static final class FirstStepTickets implements Tickets
    {
        @Override
        public Optional<String> ticket(Step step, TrackedWorker worker)
        {
            return step.number() == 0 ? Optional.of("ticket") : Optional.empty();
        }

        @Override
        public boolean isDenied(Step step, TrackedWorker worker)
        {
            return false;
        }

        @Override
        public boolean isAllowed(Step step, TrackedWorker worker)
        {
            return step.number() == 0;
        }

        @Override
        public boolean isFresh(Step step)
        {
            return step.number() == 0;
        }
    }

    @BeforeEach
    void startFirstStep()
    {
        cellState.updateWorker(TestJobs.worker("w1", 4_000)).setLeaseHeld(true);
        JobSpec spec = new JobSpec("text",
                List.of(TestJobs.step(2, 1_000, List.of()), TestJobs.step(2, 1_000, List.of(0))), 0, 0, 0);
        cellState.accept(new JobRecord(TestJobs.ID, QUEUE, spec, 0), 1, null, 0);
        Planner.Plan plan = plan();
        assertThat(plan.starts()).hasSize(2);
        plan.starts().forEach(start -> start.task().markRunning(clock.get()));
    }

    private Planner.Plan plan()
    {
        return planner.plan(clock.get(), wallMillis);
    }

    private void advance(long millis)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
        wallMillis += millis;
    }

    /** The estimate is 800 ms and a call takes 300 ms. */
    @Test
    void adviceForNextStepIsRequestedShortlyBeforeItBegins()
    {
        advance(100);
        assertThat(plan().needAdvice()).isEmpty();
        advance(300);
        assertThat(plan().needAdvice().stream().map(Step::number).toList()).containsExactly(1);
    }

    @Test
    void noAdviceIsRequestedAheadForJobThatCannotBeInTime()
    {
        advance(100);
        wallMillis += 5_000;
        advance(300);
        assertThat(plan().needAdvice()).isEmpty();
    }

    /** Guards against a call for a step that waits for tasks which have no capacity yet. */
    @Test
    void noAdviceIsRequestedWhileTasksOfTheStepBeforeWait()
    {
        Task first = cellState.findTask(TestJobs.ID + ".0.0.0");
        cellState.applyHeartbeat(first.worker(),
                TestJobs.heartbeatReply(
                        List.of(TestJobs.runningRun(cellState.findTask(TestJobs.ID + ".0.0.1"))),
                        List.of(TestJobs.endedRun(1, first, RunEnd.LAPSED))),
                0, clock.get());
        assertThat(first.phase()).isEqualTo(Task.Phase.WAITING);
        assertThat(first.step().job().nextSteps()).isEmpty();
    }
}
