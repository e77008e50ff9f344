/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.CrashHistory;
import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.AdvicePort;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.Test;

/** Guards against tasks that do not run without a reason that names the cause. */
class WaitClassifierTest
{
    private static final String OTHER_ID = "00000000000000bb";
    private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int WORKER_CPU = 2_000;
    private static final int TASK_CPU = 1_000;
    private static final StepSpec ONE_TASK = TestJobs.step(1, TASK_CPU, List.of());
    private static final QueueSpec PATIENT = new QueueSpec("patient", "service", 2, 3, 250, 10, null);
    private static final QueueSpec URGENT = new QueueSpec("urgent", "service", 1, 3, 2_000, 2, null);

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final CellState cellState = new CellState(SteadyClock::nanos, TimeUnit.SECONDS.toNanos(15));
    private AdvicePort advice = (step, workers, timeout) -> new Advice(List.of(), 0);
    private final AdviceCache adviceCache = new AdviceCache(cellState,
            new AdviceDispatcher((step, workers, timeout) -> advice.advise(step, workers, timeout), events),
            () ->
            {
            });
    private final Planner planner = new Planner(cellState, adviceCache, new WaitingFirstScore(0.5));
    private final WaitClassifier classifier = new WaitClassifier(cellState, planner, adviceCache);
    private long revision;
    private long roundNanos;

    private TrackedWorker addWorker(String id, int cpu)
    {
        TrackedWorker worker = cellState.updateWorker(TestJobs.worker(id, cpu));
        worker.recordHeartbeat(SteadyClock.nanos());
        return worker;
    }

    private Step accept(String id, QueueSpec queue, StepSpec step)
    {
        return accept(new JobRecord(id, queue, new JobSpec("text", List.of(step), 0, 0, 0),
                System.currentTimeMillis()));
    }

    private Step accept(JobRecord record)
    {
        synchronized (cellState)
        {
            revision++;
            cellState.accept(record, revision, null, System.currentTimeMillis());
            return cellState.findTask(record.id() + ".0.0.0").step();
        }
    }

    private Step accept(StepSpec step)
    {
        return accept(TestJobs.ID, TestJobs.QUEUE, step);
    }

    /** Plans a round, far enough after the previous one for a search for preemptions. */
    private Planner.Plan plan()
    {
        synchronized (cellState)
        {
            roundNanos += ROUND_NANOS;
            Planner.Plan plan = planner.plan(SteadyClock.nanos() + roundNanos, System.currentTimeMillis());
            plan.needAdvice().forEach(adviceCache::request);
            return plan;
        }
    }

    private WaitClassifier.Cause classify(Step step)
    {
        synchronized (cellState)
        {
            assertThat(step.hasWaiting()).isTrue();
            return classifier.classify(step, SteadyClock.nanos());
        }
    }

    private WaitReason reasonAfterPlan(Step step)
    {
        plan();
        return classify(step).reason();
    }

    @Test
    void noWorkerOffersTheService()
    {
        assertThat(reasonAfterPlan(accept(ONE_TASK))).isEqualTo(WaitReason.NO_WORKER);
    }

    @Test
    void allWorkersAreFull()
    {
        addWorker("w1", TASK_CPU - 1);
        addWorker("w2", TASK_CPU);
        Step step = accept(TestJobs.step(2, TASK_CPU, List.of()));
        plan();
        WaitClassifier.Cause cause = classify(step);
        assertThat(cause.reason()).isEqualTo(WaitReason.NO_CAPACITY);
        assertThat(cause.details()).contains("2 suitable workers: 0 usable, 2 no_capacity");
    }

    @Test
    void gangFitsOnlyPartly()
    {
        addWorker("w1", TASK_CPU);
        assertThat(reasonAfterPlan(accept(TestJobs.gang(2, TASK_CPU)))).isEqualTo(WaitReason.NO_CAPACITY);
    }

    @Test
    void workersWithCapacityAcceptNoStarts()
    {
        addWorker("w1", WORKER_CPU).recordMissedHeartbeat(SteadyClock.nanos(), false);
        assertThat(reasonAfterPlan(accept(ONE_TASK))).isEqualTo(WaitReason.WORKERS_UNAVAILABLE);
    }

    @Test
    void quotaIsUsedUp()
    {
        ComputeResources quota = new ComputeResources(0, TASK_CPU - 1, 1_000, 0);
        cellState.configure(new CellConfig(1, List.of(), List.of("service"),
                Customers.of(List.of(new Customers.Declared(new Customer("north", 1, quota), List.of())))));
        addWorker("w1", WORKER_CPU);
        Step step = accept(new JobRecord(TestJobs.ID, TestJobs.QUEUE,
                new JobSpec("text", List.of(ONE_TASK), 0, 0, 0), System.currentTimeMillis(), "north"));
        plan();
        WaitClassifier.Cause cause = classify(step);
        assertThat(cause.reason()).isEqualTo(WaitReason.QUOTA);
        assertThat(cause.details()).contains("customer north");
    }

    @Test
    void pendingAdviceIsNotAnswered()
    {
        CountDownLatch never = new CountDownLatch(1);
        advice = (step, workers, timeout) ->
        {
            never.await();
            return new Advice(List.of(), 0);
        };
        addWorker("w1", WORKER_CPU);
        Step step = accept(TestJobs.ID, TestJobs.ADVISED_QUEUE, ONE_TASK);
        plan();
        WaitClassifier.Cause cause = classify(step);
        assertThat(cause.reason()).isEqualTo(WaitReason.ADVICE_UNANSWERED);
        assertThat(cause.details())
                .containsMatch("no advice since \\d+ ms, 0 requests failed, one is pending");
        never.countDown();
    }

    /** Guards against counting a failed request as an answer. */
    @Test
    void failedAdviceRequestsAreCountedUntilOneIsAnswered() throws InterruptedException
    {
        advice = (step, workers, timeout) ->
        {
            throw new GaugehollowException(ResultCode.UPSTREAM_TIMEOUT, "no answer in time");
        };
        addWorker("w1", WORKER_CPU);
        Step step = accept(TestJobs.ID, TestJobs.ADVISED_QUEUE, ONE_TASK);
        plan();
        assertThat(TestJobs.waitUntil(10_000, () -> classify(step).details().contains(", 1 requests failed")))
                .isTrue();
        assertThat(classify(step).reason()).isEqualTo(WaitReason.ADVICE_UNANSWERED);
        advice = (task, workers, timeout) -> new Advice(List.of(new Advice.Ticket("w1", "ticket")), 500);
        boolean isAnswered = TestJobs.waitUntil(5_000, () ->
        {
            synchronized (cellState)
            {
                boolean hasAnswer = adviceCache.unanswered(step).isEmpty();
                if (!hasAnswer)
                {
                    adviceCache.request(step);
                }
                return hasAnswer;
            }
        });
        assertThat(isAnswered).isTrue();
    }

    @Test
    void adviceDeniesAllWorkers() throws InterruptedException
    {
        addWorker("w1", WORKER_CPU);
        Step step = accept(TestJobs.ID, TestJobs.ADVISED_QUEUE, ONE_TASK);
        plan();
        assertThat(TestJobs.waitUntil(2_000, () -> classify(step).reason() == WaitReason.ADVICE_DENIED))
                .isTrue();
    }

    @Test
    void adviceIsNotRequestedYet()
    {
        addWorker("w1", WORKER_CPU);
        Step step = accept(TestJobs.ID, TestJobs.ADVISED_QUEUE, ONE_TASK);
        planner.plan(SteadyClock.nanos(), System.currentTimeMillis());
        assertThat(classify(step).reason()).isEqualTo(WaitReason.ADVICE_NOT_REQUESTED);
    }

    @Test
    void workerIsolatesASuspect()
    {
        addWorker("w1", WORKER_CPU);
        Task suspect = accept(ONE_TASK).tasks().getFirst();
        suspect.setCrashes(CrashHistory.NONE.with("w0", Attribution.AT_START));
        cellState.crashGuard().onTaskRestored(suspect);
        Step other = accept(OTHER_ID, TestJobs.QUEUE, ONE_TASK);
        assertThat(reasonAfterPlan(other)).isEqualTo(WaitReason.ISOLATION);
    }

    @Test
    void onlyAvoidedWorkersHaveCapacity()
    {
        addWorker("w1", TASK_CPU - 1);
        addWorker("w2", WORKER_CPU).health().recordStall(SteadyClock.nanos());
        assertThat(reasonAfterPlan(accept(ONE_TASK))).isEqualTo(WaitReason.WORKERS_AVOIDED);
    }

    @Test
    void freedCapacityIsReservedForMoreUrgentStep()
    {
        TrackedWorker worker = addWorker("w1", 2 * TASK_CPU);
        StepSpec checkpointing = new StepSpec(3, TASK_CPU, 100, 0, 800, List.of(), true, false, false, null,
                null, 0, false, false, null, 0, false, 0);
        Step small = accept(TestJobs.ID, PATIENT, checkpointing);
        plan().starts().forEach(start -> start.task().markRunning(SteadyClock.nanos()));
        accept(OTHER_ID, URGENT, TestJobs.step(1, 2 * TASK_CPU, List.of()));
        Effects.Stop stop = plan().preemptions().getFirst().effects().stops().getFirst();
        cellState.applyHeartbeat(worker, TestJobs.heartbeatReply(List.of(),
                List.of(TestJobs.endedRun(1, stop.task(), RunEnd.STOPPED))), 0, SteadyClock.nanos());
        assertThat(reasonAfterPlan(small)).isEqualTo(WaitReason.CAPACITY_RESERVED);
    }

    @Test
    void limitOfTasksPerWorkerIsReached()
    {
        addWorker("w1", WORKER_CPU);
        StepSpec spread = new StepSpec(2, TASK_CPU, 100, 0, 800, List.of(), false, false, false, null, null,
                1, false, false, null, 0, false, 0);
        assertThat(reasonAfterPlan(accept(spread))).isEqualTo(WaitReason.SPREAD_LIMIT);
    }

    @Test
    void otherMembersOfTheGangStillHaveARun()
    {
        addWorker("w1", WORKER_CPU);
        Step gang = accept(TestJobs.gang(2, TASK_CPU));
        plan();
        gang.tasks().getFirst().release();
        assertThat(reasonAfterPlan(gang)).isEqualTo(WaitReason.GANG_RUN_ENDING);
    }

    /** Guards against naming a wrong reason if the planner does not start what it could start. */
    @Test
    void startableTaskIsUnexplained()
    {
        Step step = accept(ONE_TASK);
        plan();
        addWorker("w1", WORKER_CPU);
        assertThat(classify(step).reason()).isEqualTo(WaitReason.UNEXPLAINED);
    }

    private Task place()
    {
        addWorker("w1", WORKER_CPU);
        Task task = accept(ONE_TASK).tasks().getFirst();
        plan();
        assertThat(task.isOnWorker()).isTrue();
        return task;
    }

    private static Optional<WaitReason> reasonOfPlaced(Task task, boolean maySend)
    {
        return WaitClassifier.classifyPlaced(task, maySend, SteadyClock.nanos());
    }

    @Test
    void placementIsNotWritten()
    {
        Task task = place();
        assertThat(reasonOfPlaced(task, true)).hasValue(WaitReason.PROGRESS_UNWRITTEN);
        assertThat(reasonOfPlaced(task, false)).hasValue(WaitReason.TERM_UNCONFIRMED);
    }

    @Test
    void startIsNotAnsweredUntilTheTaskRuns()
    {
        Task task = place();
        task.markSent(SteadyClock.nanos());
        assertThat(reasonOfPlaced(task, true)).hasValue(WaitReason.START_UNANSWERED);
        task.onStartAnswered(SteadyClock.nanos());
        assertThat(reasonOfPlaced(task, true)).isEmpty();
    }

    @Test
    void stopIsNotAnswered()
    {
        Task task = place();
        task.onStartAnswered(SteadyClock.nanos());
        task.markStopping();
        assertThat(reasonOfPlaced(task, true)).hasValue(WaitReason.STOP_UNANSWERED);
        assertThat(reasonOfPlaced(task, false)).hasValue(WaitReason.TERM_UNCONFIRMED);
        task.onStopAnswered(task.worker(), task.run(), SteadyClock.nanos());
        assertThat(reasonOfPlaced(task, true)).hasValue(WaitReason.RUN_ENDING);
    }

    @Test
    void workerOfTheRunDoesNotAnswer()
    {
        Task task = place();
        task.onStartAnswered(SteadyClock.nanos());
        task.worker().recordMissedHeartbeat(SteadyClock.nanos(), false);
        assertThat(reasonOfPlaced(task, true)).hasValue(WaitReason.RUN_UNCERTAIN);
        assertThat(WaitClassifier.describePlaced(task, SteadyClock.nanos())).containsMatch(
                "run 1 on w1 is RUNNING, last heartbeat \\d+ ms ago, its lease ends in \\d+ ms");
    }

    /** Guards against a time of contact with a worker that this owner has never reached. */
    @Test
    void workerOfTheRunHasNeverAnswered()
    {
        Task task = place();
        TrackedWorker unreached = cellState.updateWorker(TestJobs.worker("w2", WORKER_CPU));
        task.release();
        task.assign(unreached, 2, SteadyClock.nanos());
        task.markSent(SteadyClock.nanos());
        unreached.recordMissedHeartbeat(SteadyClock.nanos(), false);
        assertThat(reasonOfPlaced(task, true)).hasValue(WaitReason.RUN_UNCERTAIN);
        assertThat(WaitClassifier.describePlaced(task, SteadyClock.nanos()))
                .contains("it has not answered this owner");
    }

    /** Guards against trusting a worker whose heartbeat call never returns. */
    @Test
    void heartbeatOfTheWorkerDoesNotReturn()
    {
        Task task = place();
        task.onStartAnswered(SteadyClock.nanos());
        long laterNanos = SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(5);
        assertThat(WaitClassifier.classifyPlaced(task, true, laterNanos)).hasValue(WaitReason.RUN_UNCERTAIN);
    }
}
