/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.junit.jupiter.api.Test;

/** Replays a flood of large jobs on a full cell whose refused callers return. */
class FloodReplayTest
{
    private static final QueueSpec QUEUE = new QueueSpec("review", "service", 2, 3, 1_203, 1.5, null);
    private static final int TASKS = 17;
    private static final int TASK_MILLIS = 4_100;
    private static final int TASK_CPU = 4_500;
    private static final StepSpec FIRST = step(List.of());
    private static final JobSpec JOB = new JobSpec("", List.of(FIRST, step(List.of(0))), 0, 0, 0);
    private static final JobDemand DEMAND = JobDemand.of(QUEUE, JOB);
    private static final ComputeResources NEEDS = FIRST.needs();
    private static final int SLOTS = 340;
    private static final int TICK_MILLIS = 50;
    private static final int ACCOUNT_MILLIS = 250;
    private static final double FULL_JOBS_PER_SECOND = SLOTS * 1_000.0 / (2 * TASKS * TASK_MILLIS);
    private static final int FLOOD_BEGIN_MILLIS = 10_000;
    private static final int FLOOD_END_MILLIS = 30_000;
    private static final int LAST_ARRIVAL_MILLIS = 60_000;
    private static final int END_MILLIS = 140_000;
    private static final int TRIES = 5;
    private static final int PATIENCE_MILLIS = 3_000;
    /** The true objective, since the estimates of the replay are right. */
    private static final long OBJECTIVE_MILLIS = 1_203 + (long) (1.5 * 2 * TASK_MILLIS);

    private static StepSpec step(List<Integer> dependsOn)
    {
        return new StepSpec(TASKS, TASK_CPU, 100, 0, TASK_MILLIS, dependsOn, false, false, false, null, null,
                0, false, false, null, 0, false, 0);
    }

    /** A job of a caller. */
    private static final class Call
    {
        private final long sentMillis;
        private int tries;
        private long acceptedMillis = -1;
        private long doneMillis = -1;
        private int waiting = TASKS;
        private int running;
        private int stepsLeft = 2;

        Call(long sentMillis)
        {
            this.sentMillis = sentMillis;
        }

        boolean hasUnstarted()
        {
            return waiting == TASKS && stepsLeft == 2;
        }

        long waitingTasks()
        {
            return waiting + (long) (stepsLeft - 1) * TASKS;
        }

        boolean willMiss(long now)
        {
            return now + (long) stepsLeft * TASK_MILLIS > acceptedMillis + DEMAND.objectiveMillis();
        }

        boolean isTooLate(long now)
        {
            return now - acceptedMillis > DEMAND.usefulMillis();
        }
    }

    /** The end of a run. */
    private record RunEnd(long millis, Call call)
    {
    }

    /** A return of a caller. */
    private record Attempt(long millis, Call call)
    {
    }

    /** What became of the calls. */
    private record Result(int calls, int inTime, int useful, int acceptedInVain, int refusedWhileFree)
    {
    }

    /** The cell: all slots are of one service, and jobs are planned in the order of the planner. */
    private static final class Cell
    {
        private final boolean refuses;
        private final List<Call> calls = new ArrayList<>();
        private final List<Call> accepted = new ArrayList<>();
        private final PriorityQueue<RunEnd> ends = new PriorityQueue<>(
                Comparator.comparingLong(RunEnd::millis));
        private final PriorityQueue<Attempt> attempts = new PriorityQueue<>(
                Comparator.comparingLong(Attempt::millis));
        private final CompletionRate completions = new CompletionRate();
        private final RetrySchedule retries = new RetrySchedule();
        private final RecentAdmissions recent = new RecentAdmissions();
        private BacklogAccount account;
        private long accountMillis;
        private long lastRefusedMillis = Long.MIN_VALUE / 2;
        private int free = SLOTS;
        private int refusedWhileFree;

        Cell(boolean refuses)
        {
            this.refuses = refuses;
        }

        Result run()
        {
            double due = 0;
            for (long now = 0; now < END_MILLIS; now += TICK_MILLIS)
            {
                boolean isFlood = now >= FLOOD_BEGIN_MILLIS && now < FLOOD_END_MILLIS;
                double load = now >= LAST_ARRIVAL_MILLIS ? 0 : isFlood ? 2.5 : 0.9;
                due += load * FULL_JOBS_PER_SECOND * TICK_MILLIS / 1_000;
                for (; due >= 1; due--)
                {
                    Call call = new Call(now);
                    calls.add(call);
                    attempts.add(new Attempt(now, call));
                }
                endRuns(now);
                plan(now);
                takeAccount(now);
                while (!attempts.isEmpty() && attempts.peek().millis() <= now)
                {
                    submit(attempts.poll().call(), now);
                }
            }
            return result();
        }

        private void endRuns(long now)
        {
            while (!ends.isEmpty() && ends.peek().millis() <= now)
            {
                Call call = ends.poll().call();
                free++;
                call.running--;
                completions.add("service", Work.coreMillis(NEEDS, 1, TASK_MILLIS),
                        TimeUnit.MILLISECONDS.toNanos(now));
                if (call.running == 0 && call.waiting == 0)
                {
                    call.stepsLeft--;
                    call.waiting = call.stepsLeft == 0 ? 0 : TASKS;
                    call.doneMillis = call.stepsLeft == 0 ? now : -1;
                }
            }
        }

        private void plan(long now)
        {
            accepted.removeIf(call -> call.doneMillis >= 0);
            accepted.sort(Comparator.comparing((Call call) -> call.isTooLate(now))
                    .thenComparing(call -> call.willMiss(now))
                    .thenComparingLong(call -> call.acceptedMillis));
            for (Call call : accepted)
            {
                for (; free > 0 && call.waiting > 0; call.waiting--)
                {
                    free--;
                    call.running++;
                    ends.add(new RunEnd(now + TASK_MILLIS, call));
                }
            }
        }

        private void takeAccount(long now)
        {
            if (now % ACCOUNT_MILLIS != 0)
            {
                return;
            }
            BacklogSummary backlog = new BacklogSummary();
            CapacitySummary capacity = new CapacitySummary("service");
            JobRank rank = DEMAND.rank(false);
            for (Call call : accepted)
            {
                if (!call.isTooLate(now))
                {
                    backlog.add(rank, call.willMiss(now), call.hasUnstarted(),
                            Work.coreMillis(NEEDS, (int) call.waitingTasks(), TASK_MILLIS));
                    backlog.addArrival(rank, call.willMiss(now), DEMAND.coreMillis(),
                            now - call.acceptedMillis);
                }
            }
            for (int i = 0; i < SLOTS; i++)
            {
                boolean isFree = i < free;
                capacity.addWorker(NEEDS, isFree ? NEEDS : ComputeResources.NONE);
                if (!isFree)
                {
                    capacity.addRun(NEEDS, false);
                }
            }
            account = backlog.isEmpty()
                    ? null
                    : new BacklogAccount("owner", 1, backlog.classes(),
                            List.of(capacity.summarize(
                                    completions.perSecond("service", TimeUnit.MILLISECONDS.toNanos(now)))),
                            Set.of());
            accountMillis = now;
            recent.removeBefore(TimeUnit.MILLISECONDS.toNanos(now));
        }

        private void submit(Call call, long now)
        {
            call.tries++;
            if (refuses && account != null)
            {
                Verdict verdict = AdmissionPolicy.decide(DEMAND, null, account, now - accountMillis, recent,
                        now - lastRefusedMillis < 1_000);
                if (verdict.refused())
                {
                    refuse(call, verdict, now);
                    return;
                }
            }
            call.acceptedMillis = now;
            accepted.add(call);
            recent.add(DEMAND, false, TimeUnit.MILLISECONDS.toNanos(now));
        }

        private void refuse(Call call, Verdict verdict, long now)
        {
            lastRefusedMillis = now;
            refusedWhileFree += free > 0 ? 1 : 0;
            int delay = retries.delaySeconds(verdict.retryMillis(), PATIENCE_MILLIS, FULL_JOBS_PER_SECOND,
                    TimeUnit.MILLISECONDS.toNanos(now));
            if (call.tries < TRIES)
            {
                attempts.add(new Attempt(now + TimeUnit.SECONDS.toMillis(delay), call));
            }
        }

        private Result result()
        {
            int inTime = count(OBJECTIVE_MILLIS);
            int useful = count(3 * OBJECTIVE_MILLIS);
            int acceptedCount = (int) calls.stream().filter(call -> call.acceptedMillis >= 0).count();
            return new Result(calls.size(), inTime, useful, acceptedCount - useful, refusedWhileFree);
        }

        private int count(long limitMillis)
        {
            return (int) calls.stream().filter(call -> call.doneMillis >= 0)
                    .filter(call -> call.doneMillis - call.sentMillis <= limitMillis).count();
        }
    }

    /** Guards against jobs that are accepted although they can't be served while it is of use. */
    @Test
    void whatCannotBeServedIsRefusedInsteadOfAcceptedInVain()
    {
        Result before = new Cell(false).run();
        Result after = new Cell(true).run();
        assertThat(before.acceptedInVain()).isGreaterThan(before.calls() / 10);
        assertWithMessage("%s, before: %s", after, before).that(after.acceptedInVain())
                .isLessThan(before.acceptedInVain() / 4);
        assertWithMessage("%s, before: %s", after, before).that(after.inTime()).isAtLeast(before.inTime());
        assertThat(after.refusedWhileFree()).isEqualTo(0);
    }
}
