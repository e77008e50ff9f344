/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.JobState;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.Advice;
import org.junit.jupiter.api.Test;

/** Tests which tasks count as waiting, and guards against scans that hold the lock for long. */
class WaitScanTest
{
    private static final int TASK_CPU = 1_000;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final CellState cellState = new CellState(SteadyClock::nanos, TimeUnit.SECONDS.toNanos(15));
    private final AdviceCache adviceCache = new AdviceCache(cellState,
            new AdviceDispatcher((step, workers, timeout) -> new Advice(List.of(), 0), events), () ->
            {
            });
    private final Planner planner = new Planner(cellState, adviceCache, new WaitingFirstScore(0.5));
    private final long beginNanos = SteadyClock.nanos();
    private final WaitScan scan = new WaitScan(cellState, new WaitClassifier(cellState, planner, adviceCache),
            new OwnerLease("box", 1, 1, 0, SteadyClock.nanos()), beginNanos);

    private void accept(int number, int tasks)
    {
        cellState.accept(TestJobs.job(String.format("%016x", number),
                TestJobs.step(tasks, TASK_CPU, List.of()), TestJobs.step(1, TASK_CPU, List.of(0))), number,
                null, 0);
    }

    private void addWorker(int cpu)
    {
        cellState.updateWorker(TestJobs.worker("w1", cpu)).recordHeartbeat(SteadyClock.nanos());
    }

    /** Plans and scans at a time after the begin of the term. */
    private List<WaitingGroup> scanAt(long millis)
    {
        long nowNanos = beginNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        planner.plan(nowNanos, System.currentTimeMillis());
        return scan.scan(Optional.empty(), nowNanos);
    }

    private static List<String> describe(List<WaitingGroup> groups)
    {
        return groups.stream().map(group -> group.subject() + ' ' + group.reason() + " tasks " + group.tasks()
                + " from " + group.firstIndex()).toList();
    }

    @Test
    void tasksOfAStepAreGroupedByReason()
    {
        addWorker(2 * TASK_CPU);
        accept(1, 5);
        scanAt(0);
        assertThat(describe(scanAt(1_500))).containsExactly("0000000000000001.0.0 NO_CAPACITY tasks 3 from 2",
                "0000000000000001.0.0 PROGRESS_UNWRITTEN tasks 2 from 0");
    }

    @Test
    void startsWaitAtLeastASecond()
    {
        accept(1, 1);
        scanAt(0);
        assertThat(scanAt(900)).isEmpty();
        WaitingGroup group = scanAt(1_100).getFirst();
        assertThat(group.sinceNanos()).isEqualTo(beginNanos);
    }

    @Test
    void beginOfALaterWaitIsKnown()
    {
        scanAt(0);
        accept(1, 1);
        scanAt(2_000);
        assertThat(scanAt(3_500).getFirst().sinceNanos()).isEqualTo(beginNanos + TimeUnit.SECONDS.toNanos(2));
        addWorker(TASK_CPU - 1);
        WaitingGroup changed = scanAt(5_000).getFirst();
        assertThat(changed.reason()).isEqualTo(WaitReason.NO_CAPACITY);
        assertThat(changed.sinceNanos()).isEqualTo(beginNanos + TimeUnit.SECONDS.toNanos(5));
    }

    @Test
    void tasksOfEndedJobsDoNotWait()
    {
        addWorker(TASK_CPU);
        accept(1, 2);
        scanAt(0);
        assertThat(scanAt(2_000)).hasSize(2);
        CellState.finish(cellState.findTask("0000000000000001.0.0.0").step().job(), JobState.CANCELLED,
                new Effects());
        assertThat(scanAt(2_500)).isEmpty();
    }

    @Test
    void comparisonsOfStepsWithWorkersAreLimited()
    {
        int workers = WaitScan.MAX_COMPARISONS / 10;
        for (int i = 0; i < workers; i++)
        {
            cellState.updateWorker(TestJobs.worker("w" + i, TASK_CPU - 1));
        }
        for (int i = 0; i < 15; i++)
        {
            accept(i, 1);
        }
        scanAt(0);
        assertThat(scanAt(1_500)).hasSize(10);
        assertThat(scanAt(2_000)).hasSize(15);
    }

    @Test
    void blockedPlanningIsTheReasonOfAllWaits()
    {
        accept(1, 2);
        scanAt(0);
        long laterNanos = beginNanos + TimeUnit.SECONDS.toNanos(2);
        assertThat(describe(scan.scan(Optional.of(WaitReason.TERM_UNCONFIRMED), laterNanos)))
                .containsExactly("0000000000000001.0.0 TERM_UNCONFIRMED tasks 2 from 0");
        assertThat(describe(scan.scan(Optional.of(WaitReason.JOBS_UNREAD), laterNanos)))
                .containsExactly("box JOBS_UNREAD tasks 0 from 0");
    }
}
