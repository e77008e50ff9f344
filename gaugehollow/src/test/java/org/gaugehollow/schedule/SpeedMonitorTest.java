/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.event.Event;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.urgency.StopCosts;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;
import org.junit.jupiter.api.Test;

/**
 * Guards against runs that say nothing about their worker, and against decisions that ignore its
 * speed.
 */
class SpeedMonitorTest
{
    private static final int WORKERS = 6;
    private static final int FIRST_SLOW = 4;
    private static final int CPU = 16_000;
    private static final int STEPS = 12;
    /** Percentages of a usual and of a slow run after half a second. */
    private static final int USUAL_PERCENT = 60;
    private static final int SLOW_PERCENT = 20;

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final CellState cellState = new CellState(clock::get, 0);
    private final Planner planner = new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5));
    private final List<TrackedWorker> workers = new ArrayList<>();
    private int jobs;

    private TrackedWorker list(String id, String kind)
    {
        TrackedWorker worker = cellState.updateWorker(
                new WorkerEntry(WorkerIncarnation.withUnknownStart(id), "service", "127.0.0.1:1", "hall",
                        false, -1, new ComputeResources(0, CPU, 65_536, 0), Set.of(kind, "r1-1"), "r1-1"));
        worker.recordHeartbeat(clock.get());
        return worker;
    }

    private void listWorkers()
    {
        for (int i = 0; i < WORKERS; i++)
        {
            workers.add(list("w" + i, i < FIRST_SLOW ? "usual" : "slow"));
        }
    }

    private Step accept(StepSpec spec)
    {
        jobs++;
        String id = String.format("%016x", jobs);
        cellState.accept(TestJobs.job(id, spec), jobs, null, 0);
        return cellState.findTask(id + ".0.0.0").step();
    }

    /** Starts one task of each step on each worker. */
    private List<Step> startOnAll(StepSpec spec)
    {
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < STEPS; i++)
        {
            Step step = accept(spec);
            for (int j = 0; j < WORKERS; j++)
            {
                step.tasks().get(j).assign(workers.get(j), 1, clock.get());
                step.tasks().get(j).markRunning(clock.get());
            }
            steps.add(step);
        }
        return steps;
    }

    private void heartbeat(List<Step> steps)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        for (int i = 0; i < WORKERS; i++)
        {
            List<RunningRun> runs = new ArrayList<>();
            for (Step step : steps)
            {
                Task task = step.tasks().get(i);
                runs.add(
                        new RunningRun(task.name(), 1, "", i < FIRST_SLOW ? USUAL_PERCENT : SLOW_PERCENT, 0));
            }
            cellState.applyHeartbeat(workers.get(i), TestJobs.heartbeatReply(runs, List.of()), 0,
                    clock.get());
        }
        cellState.speeds().check(clock.get());
    }

    private void learn(StepSpec spec)
    {
        listWorkers();
        heartbeat(startOnAll(spec));
    }

    private double slowness(int worker)
    {
        return cellState.slowness(workers.get(worker));
    }

    private static StepSpec spec(boolean gang, boolean rackLocal, String affinity, boolean longRunning,
            boolean fills)
    {
        return new StepSpec(WORKERS, 100, 100, 0, 800, List.of(), false, gang, rackLocal, null, affinity, 0,
                false, longRunning, null, 0, fills, 0);
    }

    private static StepSpec plain(int tasks, int cpu)
    {
        return TestJobs.step(tasks, cpu, List.of());
    }

    /** Progress alone must show the slow kind. */
    @Test
    void progressOfComparableRunsShowsTheSlowKind()
    {
        learn(plain(WORKERS, 100));
        assertThat(slowness(0)).isEqualTo(1.0);
        assertThat(slowness(FIRST_SLOW)).isWithin(0.1).of(3.0);
    }

    /** Runs that take longer for reasons other than their worker must not make it look slow. */
    @Test
    void otherKindsOfRunsSayNothing()
    {
        List<StepSpec> specs = List.of(spec(true, false, null, false, false),
                spec(false, true, null, false, false), spec(false, false, "r9-9", false, false),
                spec(false, false, null, true, false), spec(false, false, null, false, true));
        for (StepSpec spec : specs)
        {
            workers.clear();
            learn(spec);
            assertThat(slowness(FIRST_SLOW)).isEqualTo(1.0);
        }
    }

    /** A run under a speed limit is slow by order. */
    @Test
    void limitedRunsSayNothing()
    {
        listWorkers();
        List<Step> steps = startOnAll(plain(WORKERS, 100));
        steps.forEach(step -> step.tasks().subList(FIRST_SLOW, WORKERS)
                .forEach(task -> task.setSpeedLimitPercent(25, clock.get())));
        heartbeat(steps);
        assertThat(slowness(FIRST_SLOW)).isEqualTo(1.0);
    }

    /** The rest of a run after a checkpoint is shorter than the whole, which must not look fast. */
    @Test
    void resumedRunsSayNothingBeforeTheirSpeedIsMeasured()
    {
        listWorkers();
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < STEPS; i++)
        {
            Step step = accept(plain(WORKERS, 100));
            step.tasks().forEach(task -> task.saveCheckpoint("half"));
            steps.add(step);
        }
        for (Step step : steps)
        {
            for (int i = 0; i < WORKERS; i++)
            {
                step.tasks().get(i).assign(workers.get(i), 1, clock.get());
                step.tasks().get(i).markRunning(clock.get());
            }
        }
        heartbeat(steps);
        assertThat(slowness(FIRST_SLOW)).isEqualTo(1.0);
    }

    /** The rack differs between workers of the same kind. */
    @Test
    void kindIsTheLabelsWithoutTheRack()
    {
        WorkerEntry entry = new WorkerEntry(WorkerIncarnation.withUnknownStart("w"), "service", "", "hall",
                false, -1, ComputeResources.NONE, Set.of("r1-3", "z", "b"), "r1-3");
        assertThat(SpeedMonitor.kindOf(entry)).isEqualTo("b,z");
        WorkerEntry unlabelled = new WorkerEntry(WorkerIncarnation.withUnknownStart("w"), "service", "",
                "hall", false, -1, ComputeResources.NONE, Set.of(), "");
        assertThat(SpeedMonitor.kindOf(unlabelled)).isEqualTo("unlabelled");
    }

    /** A slow kind is no fault: its runs must not be moved. */
    @Test
    void slowKindIsNoFaultOfItsWorkers()
    {
        learn(plain(WORKERS, 100));
        assertThat(new SlowWorkerGuard(cellState, StopCosts.DEFAULT).check(clock.get()).stops()).isEmpty();
        assertThat(workers.get(FIRST_SLOW).health().isAvoided(clock.get())).isFalse();
    }

    /** The members of a gang wait for the slowest, so a mixed gang wastes fast workers. */
    @Test
    void gangTakesWorkersOfLikeSpeed()
    {
        learn(plain(WORKERS, 100));
        for (int i = 0; i < 3; i++)
        {
            accept(TestJobs.gang(3, 6_000));
        }
        List<Planner.Start> starts = planner.plan(clock.get(), 0).starts();
        assertThat(starts).hasSize(9);
        for (int i = 0; i < starts.size(); i += 3)
        {
            Set<Double> speeds = new HashSet<>();
            starts.subList(i, i + 3).forEach(start -> speeds.add(cellState.slowness(start.worker())));
            assertThat(speeds).hasSize(1);
        }
    }

    private List<TrackedWorker> startsOf(StepSpec spec)
    {
        accept(spec);
        return planner.plan(clock.get(), 0).starts().stream().map(Planner.Start::worker).toList();
    }

    /** Free capacity of slow workers must be used at once if no run on a fast one ends soon. */
    @Test
    void tightWorkStartsOnSlowWorkersIfNoFastOneBecomesFree()
    {
        learn(plain(WORKERS, 100));
        for (int i = 0; i < FIRST_SLOW; i++)
        {
            occupy(i, 60_000);
        }
        assertThat(startsOf(plain(2, 1_000))).containsExactly(workers.get(4), workers.get(5));
        assertThat(planner.slowPlacements()).isEqualTo(2);
    }

    /** A run on a fast worker that ends soon is worth a short wait, but not a longer one. */
    @Test
    void tightWorkWaitsAMomentForAFastWorker()
    {
        learn(plain(WORKERS, 100));
        for (int i = 0; i < FIRST_SLOW; i++)
        {
            occupy(i, i == 0 ? 200 : 60_000);
        }
        assertThat(startsOf(plain(1, 1_000))).isEmpty();
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(SpeedHold.MAX_HOLD_MILLIS));
        assertThat(planner.plan(clock.get(), SpeedHold.MAX_HOLD_MILLIS).starts()).hasSize(1);
    }

    /** Fills a worker with a run of the given estimated duration. */
    private void occupy(int worker, long millis)
    {
        int cpu = workers.get(worker).free().cpuMillis();
        Step step = accept(new StepSpec(1, cpu, 100, 0, millis, List.of(), false, false, false, null, null, 0,
                false, false, null, 0, false, 0));
        step.tasks().getFirst().assign(workers.get(worker), 1, clock.get());
        step.tasks().getFirst().markRunning(clock.get());
    }

    /** Operators must see that a kind is slow, once. */
    @Test
    void changeOfAKindIsLoggedOnce()
    {
        learn(plain(WORKERS, 100));
        EventLog events = new EventLog("box", new HybridClock(System::currentTimeMillis));
        SpeedReport report = new SpeedReport(cellState, planner, events);
        report.report(clock.get());
        report.report(clock.get() + TimeUnit.SECONDS.toNanos(10));
        assertThat(events.since(0).stream().map(Event::name)).containsExactly("KIND_SPEED_CHANGED");
        assertThat(events.since(0).getFirst().subject()).isEqualTo("slow");
        assertThat(report.snapshot().slownessByKind().get("usual")).isEqualTo(1.0);
        assertThat(report.snapshot().slownessByKind().get("slow")).isGreaterThan(2.0);
    }

    /** A step whose advice names slow workers only could not start in time. */
    @Test
    void adviceIsAskedForWorkersThatAreFastEnough()
    {
        learn(plain(WORKERS, 100));
        Step step = accept(plain(2, 1_000));
        SpeedNeeds needs = new SpeedNeeds(cellState.speeds());
        needs.beginRound(workers);
        step.setSpeedFit(needs.fit(step, 0));
        List<TrackedWorker> chosen = new AdviceCandidates(step, step.waitingTasks().size(), Set.of())
                .choose(workers);
        assertThat(chosen.subList(FIRST_SLOW, WORKERS))
                .containsExactlyElementsIn(workers.subList(FIRST_SLOW, WORKERS));
        Step lasting = accept(spec(false, false, null, true, false));
        lasting.setSpeedFit(needs.fit(lasting, 0));
        assertThat(new AdviceCandidates(lasting, lasting.waitingTasks().size(), Set.of()).choose(workers)
                .subList(0, 2)).containsExactlyElementsIn(workers.subList(FIRST_SLOW, WORKERS));
    }
}
