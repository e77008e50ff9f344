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

/** What an owner asks the advice service, and when it stops asking. */
class AdviceCacheTest
{
    private static final long RETRIES_MILLIS = 1_500;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final CellState ledger = new CellState(SteadyClock::nanos, TimeUnit.SECONDS.toNanos(15));

    /**
     * Owners of terms long over went on asking for the steps of their day, for up to 18 s, since
     * nothing changed any more in what they knew. The advice service answers a box's calls in turn, so
     * the owner's own calls got no answer in time, and a sixth of the jobs never began.
     */
    @Test
    void nothingIsAskedAnyMoreOnceTheTermIsOver() throws InterruptedException
    {
        AtomicInteger calls = new AtomicInteger();
        CountDownLatch termIsOver = new CountDownLatch(1);
        AdviceDispatcher lines = new AdviceDispatcher((step, workers, timeout) ->
        {
            calls.incrementAndGet();
            termIsOver.await();
            throw new GaugehollowException(ResultCode.UPSTREAM_TIMEOUT, "no answer in time");
        }, events);
        AdviceCache desk = new AdviceCache(ledger, lines, () ->
        {
        });
        synchronized (ledger)
        {
            ledger.list(TestJobs.worker("w1", 16_000)).setLeaseHeld(true);
            JobSpec spec = new JobSpec("text", List.of(TestJobs.step(1, 1_000, List.of())), 0, 0, 0);
            ledger.accept(new JobRecord(TestJobs.ID, TestJobs.ADVISED_QUEUE, spec, 0), 1, null, 0);
            desk.request(ledger.find(TestJobs.ID + ".0.0.0").step());
        }
        assertThat(TestJobs.within(2_000, () -> calls.get() == 1)).isTrue();
        desk.close();
        termIsOver.countDown();
        assertThat(TestJobs.within(RETRIES_MILLIS, () -> calls.get() > 1)).isFalse();
    }

    private static WorkerEntry entryOf(long born)
    {
        return TestJobs.worker(new WorkerIncarnation("w1", born), 16_000);
    }

    /**
     * A worker that had started again under its id was never asked about again for a step, since the
     * life before had been named unfit; where that one had been fit, starts brought its ticket and were
     * refused: {@code E514 TASK_STARTED 2d7393dad46d4fd6.0.0.3 run 2 on i-7f1bfc929a: BAD_TICKET}.
     */
    @Test
    void adviceOfOneLifeOfAWorkerSaysNothingOfTheNext() throws InterruptedException
    {
        List<List<String>> asked = new CopyOnWriteArrayList<>();
        AtomicReference<List<Advice.Ticket>> tickets = new AtomicReference<>(List.of());
        AdviceDispatcher lines = new AdviceDispatcher((step, workers, timeout) ->
        {
            asked.add(workers);
            return new Advice(tickets.get(), 500);
        }, events);
        AtomicInteger answers = new AtomicInteger();
        AdviceCache desk = new AdviceCache(ledger, lines, answers::incrementAndGet);
        Step step;
        TrackedWorker first;
        synchronized (ledger)
        {
            first = ledger.list(entryOf(1));
            first.setLeaseHeld(true);
            JobSpec spec = new JobSpec("text", List.of(TestJobs.step(1, 1_000, List.of())), 0, 0, 0);
            ledger.accept(new JobRecord(TestJobs.ID, TestJobs.ADVISED_QUEUE, spec, 0), 1, null, 0);
            step = ledger.find(TestJobs.ID + ".0.0.0").step();
            desk.request(step);
        }
        assertThat(TestJobs.within(2_000, () -> answers.get() == 1)).isTrue();
        tickets.set(List.of(new Advice.Ticket("w1", "ticket")));
        TrackedWorker second;
        synchronized (ledger)
        {
            assertThat(desk.isDenied(step, first)).isTrue();
            first.unlisted();
            second = ledger.list(entryOf(2));
            second.setLeaseHeld(true);
            assertThat(desk.isDenied(step, second)).isFalse();
            desk.request(step);
        }
        assertThat(TestJobs.within(2_000, () -> answers.get() == 2)).isTrue();
        assertThat(asked).isEqualTo(List.of(List.of("w1"), List.of("w1")));
        synchronized (ledger)
        {
            assertThat(desk.ticket(step, second)).hasValue("ticket");
            assertThat(desk.ticket(step, first)).isEmpty();
        }
    }
}
