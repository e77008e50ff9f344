/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.AdviceSpec;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.AdvicePort;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks of lost workers that wait for a whole call of the advice service once the
 * leases of these workers have expired.
 */
class LostWorkerAdviceTest
{
    private static final int LOST_WORKERS = 24;
    private static final int OTHER_WORKERS = 120;
    private static final long LEASE_MILLIS = 2_000;
    /** The tasks are released this long after the leases have expired. */
    private static final long RELEASE_MILLIS = LEASE_MILLIS
            + TimeUnit.NANOSECONDS.toMillis(OwnerTerm.RUN_END_MARGIN_NANOS);
    private static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5,
            new AdviceSpec(100, 0, 2_500));
    private static final long CALL_MILLIS = 100;
    /** Long enough for a slow test. */
    private static final long TICKET_MILLIS = 60_000;
    private static final long REPLY_TIMEOUT_MILLIS = 2_000;
    private static final long SILENCE_MILLIS = 200;

    private final long startNanos = SteadyClock.nanos();
    private final CellState cellState = new CellState(() -> startNanos,
            TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS));
    private final List<TrackedWorker> lostWorkers = new ArrayList<>();
    private final List<List<String>> ownCalls = new CopyOnWriteArrayList<>();
    private final List<List<String>> otherCalls = new CopyOnWriteArrayList<>();
    private final AdviceDispatcher dispatcher = new AdviceDispatcher(recordingPort(ownCalls),
            new EventLog("test", new HybridClock(System::currentTimeMillis)));
    private final AdviceCache cache = new AdviceCache(cellState, dispatcher, () ->
    {
    });
    private final Planner planner = new Planner(cellState, cache, new WaitingFirstScore(0.5));
    private Step step;

    private static AdvicePort recordingPort(List<List<String>> calls)
    {
        return (step, workers, timeout) ->
        {
            calls.add(workers);
            return new Advice(workers.stream().map(worker -> new Advice.Ticket(worker, "ticket")).toList(),
                    TICKET_MILLIS);
        };
    }

    @BeforeEach
    void loseWorkersOfLongRunningStep()
    {
        dispatcher.add("other", recordingPort(otherCalls));
        for (int i = 0; i < OTHER_WORKERS; i++)
        {
            cellState.updateWorker(TestJobs.worker("w" + i, 1_000)).recordHeartbeat(startNanos);
        }
        JobSpec spec = new JobSpec("text", List.of(TestJobs.longRunning(LOST_WORKERS)), 0, 0, 0);
        cellState.accept(new JobRecord(TestJobs.ID, QUEUE, spec, 0), 1, null, 0);
        step = cellState.findTask(TestJobs.ID + ".0.0.0").step();
        for (Task task : step.tasks())
        {
            TrackedWorker worker = cellState.updateWorker(TestJobs.worker("lost" + task.index(), 1_000));
            worker.recordHeartbeat(startNanos);
            task.assign(worker, 1, startNanos);
            task.markRunning(startNanos);
            worker.recordMissedHeartbeat(startNanos, false);
            lostWorkers.add(worker);
        }
    }

    private Planner.Plan plan(long millisToRelease)
    {
        long nowNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(RELEASE_MILLIS - millisToRelease);
        synchronized (cellState)
        {
            return planner.plan(nowNanos, 0);
        }
    }

    private List<Step> needAdvice(long millisToRelease)
    {
        return plan(millisToRelease).needAdvice();
    }

    private void request()
    {
        synchronized (cellState)
        {
            cache.request(step);
        }
    }

    private boolean hasTicket()
    {
        synchronized (cellState)
        {
            return cellState.workers().stream().anyMatch(worker -> cache.ticket(step, worker).isPresent());
        }
    }

    private void answerAgain()
    {
        synchronized (cellState)
        {
            lostWorkers.forEach(worker -> worker.recordHeartbeat(startNanos));
        }
    }

    @Test
    void adviceIsRequestedShortlyBeforeTasksOfLostWorkersAreReleased()
    {
        assertThat(needAdvice(10 * CALL_MILLIS)).isEmpty();
        assertThat(needAdvice(2 * CALL_MILLIS)).containsExactly(step);
    }

    @Test
    void tasksOfLostWorkersStartAsSoonAsTheyAreReleased() throws InterruptedException
    {
        request();
        assertThat(TestJobs.waitUntil(REPLY_TIMEOUT_MILLIS, this::hasTicket)).isTrue();
        synchronized (cellState)
        {
            lostWorkers.forEach(worker -> cellState.onWorkerLost(worker, WorkerLossCause.LAPSED));
            Planner.Plan plan = plan(0);
            assertThat(plan.starts()).hasSize(LOST_WORKERS);
            assertThat(plan.needAdvice()).isEmpty();
        }
    }

    /** Guards against a call for the waiting tasks only, of which there are none yet. */
    @Test
    void callAsksAboutEnoughWorkersForTasksOfLostWorkers() throws InterruptedException
    {
        request();
        assertThat(TestJobs.waitUntil(REPLY_TIMEOUT_MILLIS, () -> !otherCalls.isEmpty())).isTrue();
        assertThat(otherCalls.getFirst().size()).isAtLeast(2 * LOST_WORKERS);
        assertThat(otherCalls.getFirst().stream().noneMatch(worker -> worker.startsWith("lost"))).isTrue();
    }

    /** Guards against a call that takes the channel for urgent calls before the tasks can start. */
    @Test
    void callForTasksOfLostWorkersLeavesTheOwnChannelFree() throws InterruptedException
    {
        request();
        assertThat(TestJobs.waitUntil(REPLY_TIMEOUT_MILLIS, () -> !otherCalls.isEmpty())).isTrue();
        assertThat(ownCalls).isEmpty();
    }

    @Test
    void noAdviceIsRequestedForWorkersThatAnswerAgain()
    {
        assertThat(needAdvice(2 * CALL_MILLIS)).containsExactly(step);
        answerAgain();
        assertThat(needAdvice(2 * CALL_MILLIS)).isEmpty();
    }

    @Test
    void callIsNotSentForWorkersThatAnswerAgain() throws InterruptedException
    {
        answerAgain();
        request();
        assertThat(TestJobs.waitUntil(SILENCE_MILLIS, () -> !otherCalls.isEmpty() || !ownCalls.isEmpty()))
                .isFalse();
    }

    /** Guards against more requests than the workers that remain can use. */
    @Test
    void tasksOfLostWorkersUseUpTheBudget()
    {
        AdviceBudget budget = AdviceBudget.of(List.of(cellState.findWorker("w0").orElseThrow()));
        long nowNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(RELEASE_MILLIS - CALL_MILLIS);
        AdvicePrefetch prefetch = new AdvicePrefetch(cellState, cache);
        assertThat(prefetch.choose(budget, nowNanos, 0)).containsExactly(step);
        assertThat(prefetch.choose(budget, nowNanos, 0)).isEmpty();
    }
}
