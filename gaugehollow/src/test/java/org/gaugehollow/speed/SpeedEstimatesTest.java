/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against taking uneven tasks or wrong estimates for slow workers, and against missing slow
 * ones.
 */
class SpeedEstimatesTest
{
    private static final double UNEVENNESS = 0.25;
    private static final double OUTLIER_SHARE = 0.03;
    private static final double OUTLIER_FACTOR = 7;
    private static final int WORKERS_PER_KIND = 8;
    private static final long WORK_MILLIS = 700;

    private final SpeedEstimates speeds = new SpeedEstimates();
    private final EstimateBias bias = new EstimateBias();
    private final List<WorkerSpeed> workers = new ArrayList<>();
    private final List<Double> durations = new ArrayList<>();
    private Random random = new Random(1);
    private long nowNanos = TimeUnit.SECONDS.toNanos(1_000);

    private void addKind(String kind, double duration)
    {
        for (int i = 0; i < WORKERS_PER_KIND; i++)
        {
            WorkerSpeed worker = new WorkerSpeed();
            speeds.setKind(worker, kind);
            workers.add(worker);
            durations.add(duration);
        }
    }

    private double unevenness()
    {
        double factor = Math.exp(UNEVENNESS * random.nextGaussian());
        return random.nextDouble() < OUTLIER_SHARE ? factor * OUTLIER_FACTOR : factor;
    }

    private StepRun run(int worker, double workMillis, boolean hasEnded)
    {
        double millis = workMillis * unevenness() * durations.get(worker);
        return new StepRun(workers.get(worker), millis,
                nowNanos - TimeUnit.MILLISECONDS.toNanos((long) millis), hasEnded, new RunHistory());
    }

    /** Completes steps on random workers; the work of each is off its estimate by up to a half. */
    private void completeSteps(int steps, int tasks)
    {
        for (int i = 0; i < steps; i++)
        {
            double workMillis = WORK_MILLIS * (0.5 + random.nextDouble());
            List<StepRun> runs = new ArrayList<>();
            for (int j = 0; j < tasks; j++)
            {
                runs.add(run(random.nextInt(workers.size()), workMillis, true));
            }
            nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
            speeds.observe(runs, WORK_MILLIS, bias, true, nowNanos);
            speeds.update(nowNanos);
        }
    }

    /** Observes runs in progress: each step runs on all workers. */
    private void observeProgress(int steps)
    {
        speeds.beginObservation();
        for (int i = 0; i < steps; i++)
        {
            List<StepRun> runs = new ArrayList<>();
            for (int j = 0; j < workers.size(); j++)
            {
                runs.add(run(j, WORK_MILLIS, false));
            }
            speeds.observe(runs, WORK_MILLIS, bias, false, nowNanos);
        }
        speeds.update(nowNanos);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(250);
    }

    private void addThreeKinds()
    {
        addKind("a", 0.7);
        addKind("b", 0.7);
        addKind("c", 1.7);
    }

    private void assertSlowness(int firstWorker, double expected, double tolerance)
    {
        for (int i = firstWorker; i < firstWorker + WORKERS_PER_KIND; i++)
        {
            assertWithMessage("worker %s", i).that(workers.get(i).slowness()).isWithin(tolerance)
                    .of(expected);
        }
    }

    /** Uneven tasks, outliers and wrong estimates hide the speed of single runs. */
    @Property(tries = 50)
    void slowKindIsFoundAmongUnevenTasks(@ForAll long seed)
    {
        random = new Random(seed);
        addThreeKinds();
        completeSteps(150, 10);
        assertThat(speeds.kinds().stream().map(KindSpeed::name)).containsExactly("a", "b", "c").inOrder();
        assertThat(workers.get(0).kindSlowness()).isEqualTo(1.0);
        assertThat(workers.get(WORKERS_PER_KIND).kindSlowness()).isEqualTo(1.0);
        assertThat(workers.getLast().kindSlowness()).isWithin(0.5).of(1.7 / 0.7);
    }

    /** Workers of about the same speed must all count as typical, or placement would change. */
    @Property(tries = 50)
    void equalKindsStayTypical(@ForAll long seed)
    {
        random = new Random(seed);
        addKind("a", 1);
        addKind("b", 1.05);
        completeSteps(150, 10);
        assertThat(workers.stream().map(WorkerSpeed::kindSlowness).distinct()).containsExactly(1.0);
    }

    /** A new owner must learn within a second or two, before the first runs have ended. */
    @Example
    void progressShowsSlowKind()
    {
        addThreeKinds();
        observeProgress(4);
        assertSlowness(0, 1, 0);
        assertSlowness(2 * WORKERS_PER_KIND, 1.7 / 0.7, 0.6);
    }

    /** Workers of a slow kind look slowed down until their kind is known; that must not last. */
    @Example
    void slowKindIsLearntAlthoughItsWorkersLookSlowedDown()
    {
        addThreeKinds();
        for (int i = 0; i < 20; i++)
        {
            observeProgress(4);
        }
        assertSlowness(2 * WORKERS_PER_KIND, 1.7 / 0.7, 0.6);
        assertThat(workers.getLast().isSlowedDown()).isFalse();
        assertThat(workers.getLast().kindSlowness()).isGreaterThan(1.8);
    }

    /** Without knowledge nothing may differ from equal workers. */
    @Example
    void unknownSpeedsAreTypical()
    {
        addThreeKinds();
        completeSteps(1, 10);
        assertSlowness(0, 1, 0);
        assertSlowness(2 * WORKERS_PER_KIND, 1, 0);
    }

    /** A worker must not be trusted while it is slow, nor be avoided long after. */
    @Example
    void workerThatTurnsSlowIsNoticedAndTrustedAgain()
    {
        addThreeKinds();
        completeSteps(150, 10);
        durations.set(0, 6 * 0.7);
        nowNanos += TimeUnit.SECONDS.toNanos(1);
        observeProgress(3);
        assertThat(workers.get(0).slowness()).isGreaterThan(3.0);
        assertThat(workers.get(0).isSlowedDown()).isTrue();
        assertThat(workers.get(0).kindSlowness()).isEqualTo(1.0);
        durations.set(0, 0.7);
        observeProgress(3);
        assertThat(workers.get(0).slowness()).isEqualTo(1.0);
    }

    /** A slowed worker gets no runs that could show its recovery. */
    @Example
    void slowdownWithoutFurtherRunsIsForgotten()
    {
        addThreeKinds();
        completeSteps(150, 10);
        durations.set(0, 6 * 0.7);
        nowNanos += TimeUnit.SECONDS.toNanos(1);
        observeProgress(3);
        speeds.beginObservation();
        speeds.update(nowNanos);
        assertThat(workers.get(0).isSlowedDown()).isTrue();
        nowNanos += TimeUnit.SECONDS.toNanos(4);
        speeds.update(nowNanos);
        assertThat(workers.get(0).slowness()).isEqualTo(1.0);
    }

    /** One task that takes long by itself says nothing about its worker. */
    @Example
    void singleLongTaskIsNoSlowWorker()
    {
        addThreeKinds();
        completeSteps(150, 10);
        speeds.beginObservation();
        List<StepRun> runs = new ArrayList<>();
        for (int i = 0; i < WORKERS_PER_KIND; i++)
        {
            runs.add(new StepRun(workers.get(i), i == 0 ? 4_900 : 700, nowNanos, false, new RunHistory()));
        }
        speeds.observe(runs, WORK_MILLIS, bias, false, nowNanos);
        speeds.update(nowNanos);
        assertThat(workers.get(0).slowness()).isEqualTo(1.0);
    }

    /** A worker without distinctive labels can still be slow for good. */
    @Example
    void slowWorkerOfOrdinaryKindIsFoundByItsOwnRuns()
    {
        addKind("a", 1);
        durations.set(3, 2.4);
        completeSteps(200, 10);
        assertThat(workers.get(3).slowness()).isGreaterThan(1.5);
        assertThat(workers.get(3).kindSlowness()).isEqualTo(1.0);
    }

    /** The next incarnation of a worker may be of another kind, which its past says nothing about. */
    @Example
    void changeOfKindForgetsOwnRuns()
    {
        addThreeKinds();
        completeSteps(150, 10);
        WorkerSpeed worker = workers.getLast();
        speeds.setKind(worker, "a");
        speeds.update(nowNanos);
        assertThat(worker.slowness()).isEqualTo(1.0);
    }

    /** Steps with few tasks have no siblings to compare with, only estimates. */
    @Example
    void singleTasksAreComparedWithEstimates()
    {
        addThreeKinds();
        completeSteps(400, 1);
        assertThat(workers.getFirst().kindSlowness()).isEqualTo(1.0);
        assertThat(workers.getLast().kindSlowness()).isWithin(0.8).of(1.7 / 0.7);
    }

    /** Kinds that come and go must not use memory for good. */
    @Example
    void kindsWithoutWorkersAreForgotten()
    {
        for (int i = 0; i < 1_000; i++)
        {
            WorkerSpeed worker = new WorkerSpeed();
            speeds.setKind(worker, "kind-" + i);
            speeds.remove(worker);
        }
        assertThat(speeds.kinds().size()).isLessThan(100);
    }
}
