/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;
import org.junit.jupiter.api.Test;

/** Tests the requests of the advice cache and the validity of cached advice. */
class AdviceCacheTest
{
    private static final long RETRY_PERIOD_MILLIS = 1_500;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final CellState cellState = new CellState(SteadyClock::nanos, TimeUnit.SECONDS.toNanos(15));

    /** Guards against requests of ended terms, which delay those of the current owner. */
    @Test
    void sendsNoRequestsAfterTheTermEnds() throws InterruptedException
    {
        AtomicInteger calls = new AtomicInteger();
        CountDownLatch termEnded = new CountDownLatch(1);
        AdviceDispatcher dispatcher = new AdviceDispatcher((step, workers, timeout) ->
        {
            calls.incrementAndGet();
            termEnded.await();
            throw new GaugehollowException(ResultCode.UPSTREAM_TIMEOUT, "no answer in time");
        }, events);
        AdviceCache cache = new AdviceCache(cellState, dispatcher, () ->
        {
        });
        synchronized (cellState)
        {
            cellState.updateWorker(TestJobs.worker("w1", 16_000)).setLeaseHeld(true);
            JobSpec spec = new JobSpec("text", List.of(TestJobs.step(1, 1_000, List.of())), 0, 0, 0);
            cellState.accept(new JobRecord(TestJobs.ID, TestJobs.ADVISED_QUEUE, spec, 0), 1, null, 0);
            cache.request(cellState.findTask(TestJobs.ID + ".0.0.0").step());
        }
        assertThat(TestJobs.waitUntil(2_000, () -> calls.get() == 1)).isTrue();
        cache.close();
        termEnded.countDown();
        assertThat(TestJobs.waitUntil(RETRY_PERIOD_MILLIS, () -> calls.get() > 1)).isFalse();
    }

    /** Guards against a step that waits for advice forever after a call failed unexpectedly. */
    @Test
    void requestIsRepeatedAfterAnUnexpectedFailure() throws InterruptedException
    {
        AtomicInteger calls = new AtomicInteger();
        AdviceDispatcher dispatcher = new AdviceDispatcher((step, workers, timeout) ->
        {
            if (calls.incrementAndGet() == 1)
            {
                throw new IllegalStateException("unexpected");
            }
            return new Advice(List.of(new Advice.Ticket("w1", "ticket")), 500);
        }, events);
        AdviceCache cache = new AdviceCache(cellState, dispatcher, () ->
        {
        });
        Step step;
        synchronized (cellState)
        {
            cellState.updateWorker(TestJobs.worker("w1", 16_000)).setLeaseHeld(true);
            JobSpec spec = new JobSpec("text", List.of(TestJobs.step(1, 1_000, List.of())), 0, 0, 0);
            cellState.accept(new JobRecord(TestJobs.ID, TestJobs.ADVISED_QUEUE, spec, 0), 1, null, 0);
            step = cellState.findTask(TestJobs.ID + ".0.0.0").step();
        }
        assertThat(TestJobs.waitUntil(RETRY_PERIOD_MILLIS, () ->
        {
            synchronized (cellState)
            {
                cache.request(step);
            }
            return calls.get() > 1;
        })).isTrue();
    }

    private static WorkerEntry entryOf(long startTime)
    {
        return TestJobs.worker(new WorkerIncarnation("w1", startTime), 16_000);
    }

    /** Guards against applying the advice for a worker to a later incarnation with the same id. */
    @Test
    void adviceDoesNotApplyToTheNextIncarnation() throws InterruptedException
    {
        List<List<String>> queriedWorkers = new CopyOnWriteArrayList<>();
        AtomicReference<List<Advice.Ticket>> tickets = new AtomicReference<>(List.of());
        AdviceDispatcher dispatcher = new AdviceDispatcher((step, workers, timeout) ->
        {
            queriedWorkers.add(workers);
            return new Advice(tickets.get(), 500);
        }, events);
        AtomicInteger replies = new AtomicInteger();
        AdviceCache cache = new AdviceCache(cellState, dispatcher, replies::incrementAndGet);
        Step step;
        TrackedWorker first;
        synchronized (cellState)
        {
            first = cellState.updateWorker(entryOf(1));
            first.setLeaseHeld(true);
            JobSpec spec = new JobSpec("text", List.of(TestJobs.step(1, 1_000, List.of())), 0, 0, 0);
            cellState.accept(new JobRecord(TestJobs.ID, TestJobs.ADVISED_QUEUE, spec, 0), 1, null, 0);
            step = cellState.findTask(TestJobs.ID + ".0.0.0").step();
            cache.request(step);
        }
        assertThat(TestJobs.waitUntil(2_000, () -> replies.get() == 1)).isTrue();
        tickets.set(List.of(new Advice.Ticket("w1", "ticket")));
        TrackedWorker second;
        synchronized (cellState)
        {
            assertThat(cache.isDenied(step, first)).isTrue();
            first.clearEntry();
            second = cellState.updateWorker(entryOf(2));
            second.setLeaseHeld(true);
            assertThat(cache.isDenied(step, second)).isFalse();
            cache.request(step);
        }
        assertThat(TestJobs.waitUntil(2_000, () -> replies.get() == 2)).isTrue();
        assertThat(queriedWorkers).isEqualTo(List.of(List.of("w1"), List.of("w1")));
        synchronized (cellState)
        {
            assertThat(cache.ticket(step, second)).hasValue("ticket");
            assertThat(cache.ticket(step, first)).isEmpty();
        }
    }
}
